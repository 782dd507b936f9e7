package org.springmill.cli;

import java.nio.file.Path;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsException;
import org.springmill.protocol.SettingsFile;
import org.springmill.protocol.SettingsWarnings;
import picocli.CommandLine.Option;

/** The options that name the settings files. */
final class SettingsOptions {
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "The platform's settings (TOML).")
    private Path config;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "Operators' own settings (HCL, optional).")
    private Path operator;

    /** The platform's settings file. */
    Path config() {
        return config;
    }

    /**
     * Reads and checks the settings; warnings go to standard error.
     *
     * @throws SettingsException if a file cannot be read, or a field is missing or invalid
     */
    Settings read() throws SettingsException {
        Settings settings = SettingsFile.read(config, operator);
        double heapMb = Runtime.getRuntime().totalMemory() / BYTES_PER_MB;
        double maxHeapMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
        for (String warning : SettingsWarnings.of(settings, heapMb, maxHeapMb)) {
            System.err.println("springmill: warning: " + config + ": " + warning);
        }
        return settings;
    }
}
