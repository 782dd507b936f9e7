package org.springmill.protocol;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads files in HCL. */
public final class HclFile {
    private HclFile() {}

    /**
     * Reads the blocks and fields of a file.
     *
     * @param file the file
     * @param option the option of the command line that names the file, for the error message
     * @throws SettingsException if it cannot be read or is not HCL
     */
    public static Map<String, Object> read(Path file, String option) throws SettingsException {
        try {
            return new HCLParser().parse(Files.readString(file));
        } catch (HCLParserException | RuntimeException e) {
            throw new SettingsException(file, "not valid HCL: " + e.getMessage());
        } catch (IOException e) {
            throw new SettingsException(
                    file, "cannot be read; name an existing HCL file with " + option);
        }
    }
}
