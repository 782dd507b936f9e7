package org.springmill.cli;

import java.util.concurrent.Callable;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Checks settings without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks settings and exits.")
final class CheckCommand implements Callable<Integer> {

    @Mixin private SettingsOptions options;

    @Override
    public Integer call() {
        try {
            Settings settings = options.read();
            System.out.printf(
                    "%s: fine: node %s in %s, %d other controllers, %d teams%n",
                    options.config(),
                    settings.node(),
                    settings.zone(),
                    settings.peers().size(),
                    settings.teams().size());
            return 0;
        } catch (SettingsException e) {
            System.err.println("springmill: " + e.getMessage());
            return RunCommand.BAD_SETTINGS;
        }
    }
}
