package org.springmill.cli;

import java.nio.file.Path;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsException;
import org.springmill.protocol.SettingsFile;
import org.springmill.protocol.SettingsWarnings;
import picocli.CommandLine.Option;

/** The files that settings come from. */
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

    Path config() {
        return config;
    }

    /** Reads and checks the settings; what looks mistaken is told on standard error. */
    Settings read() throws SettingsException {
        Settings settings = SettingsFile.read(config, operator);
        double heapMb = Runtime.getRuntime().totalMemory() / BYTES_PER_MB;
        double heapBoundMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
        for (String warning : SettingsWarnings.of(settings, heapMb, heapBoundMb)) {
            System.err.println("springmill: warning: " + config + ": " + warning);
        }
        return settings;
    }
}
