package org.springmill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import org.springmill.emulator.Emulation;
import org.springmill.emulator.EmulationResult;
import org.springmill.emulator.Scenario;
import org.springmill.emulator.ScenarioFile;
import org.springmill.protocol.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs real controllers in an emulated deployment on this machine, and measures them. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = {
            "Runs real controllers inside an emulated deployment on this machine: emulated workers,"
                    + " cloud, state service and users.",
            "Exit code 0: all rules held; 1: one was broken; 2: the scenario is wrong; 3: it"
                    + " could not be run."
        })
final class EmulateCommand implements Callable<Integer> {
    private static final int RULE_BROKEN = 1;
    private static final int CANNOT_RUN = 3;

    @Option(names = "--scenario", required = true, description = "What to emulate, in HCL.")
    private Path scenarioFile;

    @Option(names = "--out", paramLabel = "<out>", description = "File for the result, in JSON.")
    private Path resultFile;

    @Option(
            names = "--logs",
            defaultValue = "target/emulation",
            description = "Folder for the controllers' settings and logs (${DEFAULT-VALUE}).")
    private Path logs;

    @Option(
            names = "--network",
            defaultValue = "40",
            description =
                    "Second number of the loopback addresses, of which this and the next are used;"
                            + " emulations beside each other need different ones (${DEFAULT-VALUE}).")
    private int network;

    @Option(names = "--seed", description = "Used in place of the scenario's own seed.")
    private Long seed;

    @Override
    public Integer call() {
        try {
            OptionalLong seedOverride = seed == null ? OptionalLong.empty() : OptionalLong.of(seed);
            return emulate(ScenarioFile.read(scenarioFile, seedOverride));
        } catch (SettingsException e) {
            System.err.println("springmill: " + e.getMessage());
            return RunCommand.BAD_SETTINGS;
        } catch (Exception e) {
            System.err.println("springmill: cannot run the scenario: " + e.getMessage());
            return CANNOT_RUN;
        }
    }

    private int emulate(Scenario scenario) throws Exception {
        Files.createDirectories(logs);
        try (Emulation emulation = new Emulation(scenario, network, logs, EmulateCommand::print)) {
            // Closes the emulation also if this process is terminated by a signal, so that no
            // controller process outlives it.
            Runtime.getRuntime().addShutdownHook(new Thread(emulation::close));
            EmulationResult result = emulation.run();
            write(result);
            result.violations().forEach(violation -> print("broken: " + violation));
            return result.rulesHeld() ? 0 : RULE_BROKEN;
        }
    }

    private static void print(String line) {
        System.out.println(line);
    }

    private void write(EmulationResult result) throws IOException {
        if (resultFile != null) {
            result.write(resultFile);
        }
    }
}
