package org.springmill.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Properties;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(
        name = "springmill",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Schedules jobs of model services and batches on a fleet of rented machines.",
        subcommands = {
            RunCommand.class,
            CheckCommand.class,
            EmulateCommand.class,
            TrainArchiveCommand.class
        })
public final class Main implements Runnable {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /**
     * Runs a command; exits with its code, unless the command keeps the process running.
     *
     * @param args the command with its options
     */
    public static void main(String[] args) {
        setLogLevel(System.getenv("LOG_LEVEL"));
        int code = new CommandLine(new Main()).execute(args);
        if (code != RunCommand.KEEPS_RUNNING) {
            System.exit(code);
        }
    }

    /**
     * Sets the level of the log; must be called before the first logger is created.
     *
     * @param level "error" or "debug"; any other, or null, stands for "info"
     */
    static void setLogLevel(String level) {
        String known = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        if (!known.equals("error") && !known.equals("debug")) {
            known = "info";
        }
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known);
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    @Override
    public void run() {
        spec.commandLine().usage(System.out);
    }

    /** Reads the version that the build wrote into the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() throws IOException {
            Properties properties = new Properties();
            try (InputStream in = Main.class.getResourceAsStream("/springmill.properties")) {
                properties.load(in);
            }
            return new String[] {"springmill " + properties.getProperty("version")};
        }
    }
}
