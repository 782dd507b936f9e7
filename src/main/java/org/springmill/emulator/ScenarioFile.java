package org.springmill.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.springmill.emulator.Scenario.CloudLimits;
import org.springmill.emulator.Scenario.Controllers;
import org.springmill.emulator.Scenario.Fault;
import org.springmill.emulator.Scenario.FaultKind;
import org.springmill.emulator.Scenario.JobClass;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.emulator.Scenario.Serving;
import org.springmill.emulator.Scenario.StoreLimits;
import org.springmill.emulator.Scenario.Teams;
import org.springmill.emulator.Scenario.Users;
import org.springmill.emulator.Scenario.Workers;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.SettingsException;

/**
 * Reads and checks a scenario in HCL. Scenarios are written by hand, so unknown fields are rejected
 * rather than ignored, and each error names the file, the field and a remedy.
 */
public final class ScenarioFile {
    private static final Path DEPLOYMENT = Path.of("deploy/service.toml");
    private static final double MAX_VALUE = 1e6;

    /** Every command to run a controller ends with this option; the path of the file follows. */
    private static final String CONFIG_OPTION = "--config$";

    private final Path file;

    private ScenarioFile(Path file) {
        this.file = file;
    }

    /**
     * Reads a scenario.
     *
     * @throws SettingsException if it is invalid, with file, field and remedy
     */
    public static Scenario read(Path file) throws SettingsException {
        return read(file, OptionalLong.empty());
    }

    /**
     * Reads a scenario.
     *
     * @param seed replaces the scenario's own seed if present
     * @throws SettingsException if it is invalid, with file, field and remedy
     */
    public static Scenario read(Path file, OptionalLong seed) throws SettingsException {
        ScenarioFile scenario = new ScenarioFile(file);
        Map<String, Object> fields = ScenarioBase.read(file);
        seed.ifPresent(number -> fields.put("seed", number));
        ScenarioBlock root = new ScenarioBlock(file, "", fields);
        Scenario read = scenario.scenario(root);
        root.refuseUnknown();
        return read;
    }

    private Scenario scenario(ScenarioBlock root) throws SettingsException {
        String fileName = file.getFileName().toString();
        Scenario scenario =
                new Scenario(
                        fileName.replaceFirst("\\.hcl$", ""),
                        (long) root.number("seed", 1, 0, Long.MAX_VALUE),
                        root.number("duration_s", 5, 86_400),
                        root.number("warm_up_s", 0, 0, 86_400),
                        controllers(root.block("controllers")),
                        (int) root.number("regions", 1, 100),
                        (int) root.number("zones", 1, 200),
                        machines(root.block("machines")),
                        teams(root.block("teams")),
                        jobs(root.block("jobs")),
                        users(root.block("users")),
                        workers(root.block("workers")),
                        state(root.block("state_service")),
                        cloud(root.block("cloud")),
                        faults(root),
                        serving(root));
        if (scenario.warmUpSeconds() >= scenario.durationSeconds()) {
            throw new SettingsException(
                    file,
                    "warm_up_s",
                    "must be below duration_s, "
                            + scenario.durationSeconds()
                            + ", or nothing is measured; got "
                            + scenario.warmUpSeconds());
        }
        return scenario;
    }

    private Controllers controllers(ScenarioBlock block) throws SettingsException {
        String run = block.has("run") ? block.text("run") : runLine();
        if (block.has("operator")) {
            run = run.replaceFirst(CONFIG_OPTION, "--operator " + block.text("operator") + " $0");
        }
        Controllers controllers =
                new Controllers(
                        (int) block.number("number", 1, 9),
                        run,
                        block.number("cpu_share", 0.25, 0.01, 64),
                        block.number("memory_mb", 176, 100, MAX_VALUE),
                        (int) block.number("max_sockets", 800, 64, MAX_VALUE),
                        block.number("restart_s", 6, 0, 3600));
        block.refuseUnknown();
        return controllers;
    }

    /** The command that starts a controller, from the deployment file. */
    private static String runLine() throws SettingsException {
        try {
            JsonNode deployment = new TomlMapper().readTree(Files.readString(DEPLOYMENT));
            return deployment.path("run").asText();
        } catch (IOException e) {
            throw new SettingsException(
                    DEPLOYMENT,
                    "cannot be read; start in the repository's root or set controllers.run");
        }
    }

    private static List<MachineGroup> machines(ScenarioBlock block) throws SettingsException {
        List<MachineGroup> groups = new ArrayList<>();
        for (ScenarioBlock group : block.children()) {
            int number = (int) group.number("number", 0, 10_000);
            groups.add(
                    new MachineGroup(
                            group.label(),
                            number,
                            (int) group.number("initial", number, 0, number),
                            group.number("cpus", 0.1, MAX_VALUE),
                            group.number("gpus", 0, 0, 64),
                            group.number("memory_gb", 0.1, MAX_VALUE),
                            group.number("fetch_gb_per_s", 1, 0.001, MAX_VALUE),
                            group.number("boot_s", 30, 0.1, 3600)));
            group.refuseUnknown();
        }
        return groups;
    }

    private static Teams teams(ScenarioBlock block) throws SettingsException {
        Teams teams =
                new Teams(
                        (int) block.number("number", 1, 1000),
                        block.number("cpus", 0, 0, MAX_VALUE),
                        block.number("cpus_max", 0, 0, MAX_VALUE),
                        block.number("gpus", 0, 0, MAX_VALUE),
                        block.number("gpus_max", 0, 0, MAX_VALUE));
        block.refuseUnknown();
        return teams;
    }

    private static List<JobClass> jobs(ScenarioBlock block) throws SettingsException {
        List<JobClass> classes = new ArrayList<>();
        for (ScenarioBlock job : block.children()) {
            classes.add(jobClass(job));
            job.refuseUnknown();
        }
        return classes;
    }

    private static JobClass jobClass(ScenarioBlock job) throws SettingsException {
        int minTasks = (int) job.number("min_tasks", 1, 1, 100_000);
        return new JobClass(
                job.label(),
                job.oneOf("kind", JobKind.class),
                job.oneOf("priority", Priority.class),
                (int) job.number("initial", 0, 0, MAX_VALUE),
                job.number("ramp_s", 0, 0, 86_400),
                job.number("per_minute", 0, 0, MAX_VALUE),
                minTasks,
                (int) job.number("max_tasks", minTasks, minTasks, 100_000),
                job.number("cpus", 1, 0, MAX_VALUE),
                job.number("gpus", 0, 0, 64),
                job.number("memory_gb", 1, 0, MAX_VALUE),
                (int) job.number("images", 1, 1, MAX_VALUE),
                job.number("image_gb", 1, 0, MAX_VALUE),
                job.number("run_s", 0, 0, MAX_VALUE),
                job.number("life_s", 1e9, 1, 1e9),
                job.number("checkpoint_s", 0, 0, MAX_VALUE),
                job.number("save_s", 0, 0, MAX_VALUE),
                (int) job.number("team", -1, 0, 1000));
    }

    private static Optional<Serving> serving(ScenarioBlock root) throws SettingsException {
        if (!root.has("serving")) {
            return Optional.empty();
        }
        ScenarioBlock block = root.block("serving");
        Serving serving =
                new Serving(
                        (int) block.number("team", 0, 0, 1000),
                        block.number("cpus", 1, 0, MAX_VALUE),
                        block.number("gpus", 1, 0, 64),
                        block.number("memory_gb", 1, 0, MAX_VALUE),
                        block.number("image_gb", 1, 0, MAX_VALUE),
                        block.number("load_s", 1, 0, 3600),
                        block.number("requests_per_s", 0.1, 10_000),
                        block.number("queue", 4, 0, 10_000),
                        block.number("demand_per_s", 0.1, 10_000),
                        block.number("surge_factor", 3, 1, 100),
                        block.number("surge_at_s", 0, 86_400),
                        block.number("surge_for_s", 0, 86_400));
        block.refuseUnknown();
        return Optional.of(serving);
    }

    private static Users users(ScenarioBlock block) throws SettingsException {
        Users users =
                new Users(
                        block.number("poll_s", 5, 0.5, 3600),
                        (int) block.number("clients", 16, 1, 200));
        block.refuseUnknown();
        return users;
    }

    private static Workers workers(ScenarioBlock block) throws SettingsException {
        Workers workers =
                new Workers(
                        block.number("report_s", 4, 0.5, 600),
                        block.number("lease_s", 20, 2, 3600),
                        block.number("cancel_s", 60, 2, 3600));
        block.refuseUnknown();
        return workers;
    }

    private static StoreLimits state(ScenarioBlock block) throws SettingsException {
        StoreLimits limits =
                new StoreLimits(
                        block.number("requests_per_s", 150, 5, MAX_VALUE),
                        block.number("writes_per_s", 60, 5, MAX_VALUE),
                        block.number("value_kb", 8, 2, 64),
                        (int) block.number("writes_per_commit", 16, 4, 1000),
                        block.number("latency_s", 0.003, 0, 10));
        block.refuseUnknown();
        return limits;
    }

    private static CloudLimits cloud(ScenarioBlock block) throws SettingsException {
        CloudLimits limits =
                new CloudLimits(
                        block.number("requests_per_s", 4, 0.1, MAX_VALUE),
                        block.number("list_lag_s", 6, 0, 600));
        block.refuseUnknown();
        return limits;
    }

    private static List<Fault> faults(ScenarioBlock root) throws SettingsException {
        List<Fault> faults = new ArrayList<>();
        if (root.has("faults")) {
            for (ScenarioBlock fault : root.block("faults").children()) {
                faults.add(
                        new Fault(
                                fault.label(),
                                fault.oneOf("kind", FaultKind.class),
                                fault.number("at_s", 0, 86_400),
                                fault.number("for_s", 0, 0, 86_400),
                                (int) fault.number("machines", 40, 1, 10_000)));
                fault.refuseUnknown();
            }
        }
        return faults;
    }
}
