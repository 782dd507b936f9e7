package org.springmill.cli;

import java.nio.file.Path;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsException;
import org.springmill.protocol.SettingsFile;
import picocli.CommandLine.Option;

/** The files that settings come from. */
final class SettingsOptions {
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

    Settings read() throws SettingsException {
        return SettingsFile.read(config, operator);
    }
}
