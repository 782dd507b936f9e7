package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and checks the platform's settings file, which is TOML. Unknown fields are ignored. */
public final class SettingsFile {
    private static final int MIN_MEMORY_MB = 100;
    private static final int MIN_SOCKETS = 64;
    private static final int MIN_WRITES_PER_SECOND = 5;
    private static final int MIN_VALUE_KB = 2;
    private static final int MIN_WRITES_PER_COMMIT = 4;
    private static final int BYTES_PER_KB = 1024;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private SettingsFile() {}

    /**
     * Reads and checks the settings.
     *
     * @param file the platform's settings file
     * @param operatorFile the operators' own settings file; null for the defaults
     * @throws SettingsException if a file cannot be read, or a field is missing or invalid
     */
    public static Settings read(Path file, Path operatorFile) throws SettingsException {
        OperatorSettings operator =
                operatorFile == null
                        ? OperatorSettings.DEFAULTS
                        : OperatorSettingsFile.read(operatorFile);
        SettingsTable root = SettingsTable.root(file, parse(file));
        return settings(root, operator);
    }

    private static JsonNode parse(Path file) throws SettingsException {
        try {
            return new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            String position =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(
                    file, position + "not valid TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException(
                    file, "cannot be read; name an existing TOML file with --config");
        }
    }

    private static Settings settings(SettingsTable root, OperatorSettings operator)
            throws SettingsException {
        SettingsTable services = root.table("services");
        SettingsTable cluster = root.table("cluster");
        String node = root.text("node");
        return new Settings(
                node,
                root.text("site"),
                root.address("api_addr"),
                root.address("peer_bind"),
                peers(root, node),
                services.address("cloud"),
                services.address("state"),
                zones(cluster),
                cluster.positive("skew_ms") / MILLISECONDS_PER_SECOND,
                teams(cluster),
                objectives(cluster),
                workers(cluster.table("workers")),
                storeLimits(cluster.table("state")),
                cloudLimits(cluster.table("cloud")),
                machineLimits(cluster.table("machine_limits")),
                operator);
    }

    private static Map<String, String> peers(SettingsTable root, String ownNode)
            throws SettingsException {
        Map<String, String> peers = new LinkedHashMap<>();
        for (SettingsTable seed : root.tables("seeds")) {
            String node = seed.text("node");
            String address = seed.address("addr");
            if (node.equals(ownNode) || peers.put(node, address) != null) {
                throw seed.invalid(
                        "node",
                        "is \"" + node + "\"; list each other controller once, and not this one");
            }
        }
        return Map.copyOf(peers);
    }

    private static List<String> zones(SettingsTable cluster) throws SettingsException {
        List<String> zones = cluster.texts("zones");
        if (zones.isEmpty()) {
            throw cluster.invalid("zones", "names no zone; list all zones of the deployment");
        }
        return zones;
    }

    private static List<Settings.Team> teams(SettingsTable cluster) throws SettingsException {
        List<Settings.Team> teams = new ArrayList<>();
        for (SettingsTable team : cluster.tables("teams")) {
            teams.add(
                    new Settings.Team(
                            team.text("name"),
                            team.optionalNumber("cpus"),
                            team.optionalNumber("cpus_max"),
                            team.optionalNumber("gpus"),
                            team.optionalNumber("gpus_max")));
        }
        return List.copyOf(teams);
    }

    private static List<Settings.Objective> objectives(SettingsTable cluster)
            throws SettingsException {
        List<Settings.Objective> objectives = new ArrayList<>();
        for (SettingsTable objective : cluster.tables("objectives")) {
            objectives.add(
                    new Settings.Objective(
                            objective.text("kind"),
                            objective.optionalText("class"),
                            objective.optionalNumber("within_s"),
                            objective.optionalNumber("share")));
        }
        return List.copyOf(objectives);
    }

    private static Settings.Workers workers(SettingsTable workers) throws SettingsException {
        double heartbeatIntervalSeconds = workers.positive("report_s");
        double leaseSeconds = workers.positive("lease_s");
        if (heartbeatIntervalSeconds >= leaseSeconds) {
            throw workers.invalid(
                    "report_s",
                    "is not below lease_s ("
                            + heartbeatIntervalSeconds
                            + " >= "
                            + leaseSeconds
                            + "), so that every lease would end between two reports; set it to"
                            + " less than half of lease_s");
        }
        return new Settings.Workers(
                heartbeatIntervalSeconds, leaseSeconds, workers.positive("cancel_s"));
    }

    private static Settings.CloudLimits cloudLimits(SettingsTable cloud) throws SettingsException {
        return new Settings.CloudLimits(cloud.positive("rps"), cloud.number("list_lag_s"));
    }

    private static Settings.Limits machineLimits(SettingsTable limits) throws SettingsException {
        double cpuShare = limits.positive("cpu_share");
        double memoryMb = limits.atLeast("ram_mb", MIN_MEMORY_MB, "for the process with its heap");
        double maxSockets =
                limits.atLeast(
                        "max_sockets",
                        MIN_SOCKETS,
                        "for the state service, the cloud, the other controllers, users and"
                                + " workers");
        return new Settings.Limits(cpuShare, memoryMb, (int) maxSockets);
    }

    /**
     * The current limits, combined with those of the table {@code next} if there is one. Those take
     * effect at an unannounced time, so requests keep to both sets from startup on.
     */
    private static Settings.StoreLimits storeLimits(SettingsTable store) throws SettingsException {
        Settings.StoreLimits current = storeLimits(store, store);
        SettingsTable next = store.optionalTable("next", "next = { write_rps = 15.0 }");
        return next == null ? current : current.within(storeLimits(next, store));
    }

    /**
     * One set of limits.
     *
     * @param defaults table that supplies the limits which the set itself does not have
     */
    private static Settings.StoreLimits storeLimits(SettingsTable limits, SettingsTable defaults)
            throws SettingsException {
        double requestsPerSecond = tableWith("rps", limits, defaults).positive("rps");
        double writesPerSecond =
                tableWith("write_rps", limits, defaults)
                        .atLeast(
                                "write_rps",
                                MIN_WRITES_PER_SECOND,
                                "for rounds beside the leader's record");
        double valueKb =
                tableWith("value_kb", limits, defaults)
                        .atLeast("value_kb", MIN_VALUE_KB, "for the largest submission");
        double writesPerCommit =
                tableWith("txn_ops", limits, defaults)
                        .atLeast(
                                "txn_ops",
                                MIN_WRITES_PER_COMMIT,
                                "for a round that replaces older ones");
        return new Settings.StoreLimits(
                requestsPerSecond,
                writesPerSecond,
                (int) (valueKb * BYTES_PER_KB),
                (int) writesPerCommit);
    }

    private static SettingsTable tableWith(
            String field, SettingsTable preferred, SettingsTable otherwise) {
        return preferred.has(field) ? preferred : otherwise;
    }
}
