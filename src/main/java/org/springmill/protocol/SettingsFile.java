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

/** Reads and checks the platform's settings file. Unknown fields are ignored. */
public final class SettingsFile {
    private final Path file;
    private final OperatorSettings operator;

    private SettingsFile(Path file, OperatorSettings operator) {
        this.file = file;
        this.operator = operator;
    }

    /**
     * Reads and checks the settings.
     *
     * @param operatorFile the operators' own settings, or null for their defaults
     */
    public static Settings read(Path file, Path operatorFile) throws SettingsException {
        OperatorSettings operator =
                operatorFile == null
                        ? OperatorSettings.DEFAULTS
                        : OperatorSettings.read(operatorFile);
        return new SettingsFile(file, operator).read();
    }

    private Settings read() throws SettingsException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr();
            throw new SettingsException(
                    file + where + ": not valid TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException(
                    file + ": cannot be read; name an existing TOML file with --config");
        }
        String node = text(root, "node");
        Map<String, String> peers = new LinkedHashMap<>();
        int i = 0;
        for (JsonNode seed : list(root, "seeds")) {
            String at = "seeds[" + i++ + "].";
            String name = text(seed, "node", at);
            if (name.equals(node) || peers.put(name, address(seed, "addr", at)) != null) {
                throw bad(
                        at + "node",
                        "each controller must be listed once, without this one itself");
            }
        }
        JsonNode cluster = root.path("cluster");
        JsonNode workers = cluster.path("workers");
        JsonNode state = cluster.path("state");
        JsonNode cloud = cluster.path("cloud");
        JsonNode limits = cluster.path("machine_limits");
        List<String> zones = new ArrayList<>();
        for (JsonNode zone : list(cluster, "zones")) {
            zones.add(zone.asText());
        }
        return new Settings(
                node,
                text(root, "site"),
                address(root, "api_addr", ""),
                address(root, "peer_bind", ""),
                Map.copyOf(peers),
                address(root.path("services"), "cloud", "services."),
                address(root.path("services"), "state", "services."),
                List.copyOf(zones),
                positive(cluster, "skew_ms", "cluster.") / 1000,
                teams(cluster),
                objectives(cluster),
                new Settings.Workers(
                        positive(workers, "report_s", "cluster.workers."),
                        positive(workers, "lease_s", "cluster.workers."),
                        positive(workers, "cancel_s", "cluster.workers.")),
                stateLimits(state),
                new Settings.Cloud(
                        positive(cloud, "rps", "cluster.cloud."),
                        number(cloud, "list_lag_s", "cluster.cloud.")),
                new Settings.Limits(
                        positive(limits, "cpu_share", "cluster.machine_limits."),
                        atLeast(
                                limits,
                                "ram_mb",
                                "cluster.machine_limits.",
                                100,
                                "for the process with its heap"),
                        (int)
                                atLeast(
                                        limits,
                                        "max_sockets",
                                        "cluster.machine_limits.",
                                        64,
                                        "for the state service, the cloud, the other controllers, users and workers")),
                operator);
    }

    /**
     * The limits in force and, if there is a second set, those that will be from an unannounced
     * moment on. What is written keeps to both from the start, so that the moment need not be
     * known.
     */
    private Settings.State stateLimits(JsonNode state) throws SettingsException {
        Settings.State now = stateLimits(state, state, "cluster.state.");
        JsonNode next = state.path("next");
        if (next.isMissingNode()) {
            return now;
        }
        if (!next.isObject()) {
            throw bad("cluster.state.next", "must be a table of limits");
        }
        return now.within(stateLimits(next, state, "cluster.state.next."));
    }

    /**
     * @param otherwise where a limit stands that is not given
     */
    private Settings.State stateLimits(JsonNode limits, JsonNode otherwise, String at)
            throws SettingsException {
        return new Settings.State(
                positive(either(limits, otherwise, "rps"), "rps", at),
                atLeast(
                        either(limits, otherwise, "write_rps"),
                        "write_rps",
                        at,
                        5,
                        "for rounds beside the leader's record"),
                (int)
                        (atLeast(
                                        either(limits, otherwise, "value_kb"),
                                        "value_kb",
                                        at,
                                        2,
                                        "for the largest submission")
                                * 1024),
                (int)
                        atLeast(
                                either(limits, otherwise, "txn_ops"),
                                "txn_ops",
                                at,
                                4,
                                "for a round that replaces older ones"));
    }

    private static JsonNode either(JsonNode first, JsonNode second, String field) {
        return first.has(field) ? first : second;
    }

    private List<Settings.Team> teams(JsonNode cluster) throws SettingsException {
        List<Settings.Team> teams = new ArrayList<>();
        int i = 0;
        for (JsonNode team : list(cluster, "teams")) {
            String at = "cluster.teams[" + i++ + "].";
            teams.add(
                    new Settings.Team(
                            text(team, "name", at),
                            optional(team, "cpus", at),
                            optional(team, "cpus_max", at),
                            optional(team, "gpus", at),
                            optional(team, "gpus_max", at)));
        }
        return List.copyOf(teams);
    }

    private List<Settings.Objective> objectives(JsonNode cluster) throws SettingsException {
        List<Settings.Objective> objectives = new ArrayList<>();
        int i = 0;
        for (JsonNode objective : list(cluster, "objectives")) {
            String at = "cluster.objectives[" + i++ + "].";
            JsonNode jobClass = objective.path("class");
            objectives.add(
                    new Settings.Objective(
                            text(objective, "kind", at),
                            jobClass.isTextual() ? jobClass.textValue() : null,
                            optional(objective, "within_s", at),
                            optional(objective, "share", at)));
        }
        return List.copyOf(objectives);
    }

    private JsonNode list(JsonNode parent, String field) throws SettingsException {
        JsonNode node = parent.path(field);
        if (!node.isMissingNode() && !node.isArray()) {
            throw bad(field, "must be a list");
        }
        return node;
    }

    private String text(JsonNode parent, String field) throws SettingsException {
        return text(parent, field, "");
    }

    private String text(JsonNode parent, String field, String at) throws SettingsException {
        JsonNode node = parent.path(field);
        if (node.isMissingNode()) {
            throw bad(at + field, "is missing; add it as a text");
        }
        if (!node.isTextual() || node.textValue().isEmpty()) {
            throw bad(at + field, "must be a text that is not empty");
        }
        return node.textValue();
    }

    private String address(JsonNode parent, String field, String at) throws SettingsException {
        String text = text(parent, field, at);
        int colon = text.lastIndexOf(':');
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            // Falls through to the one message for every wrong address.
        }
        if (colon < 1 || port < 0 || port > 65535) {
            throw bad(at + field, "is \"" + text + "\"; write it as \"10.0.0.1:8080\"");
        }
        return text;
    }

    private double number(JsonNode parent, String field, String at) throws SettingsException {
        JsonNode node = parent.path(field);
        if (node.isMissingNode()) {
            throw bad(at + field, "is missing; add it as a number");
        }
        if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < 0) {
            throw bad(at + field, "must be a number of at least 0");
        }
        return node.doubleValue();
    }

    /**
     * A limit too small to serve at all stops the start, rather than let the service fail by and
     * by.
     */
    private double atLeast(JsonNode parent, String field, String at, double least, String what)
            throws SettingsException {
        double value = number(parent, field, at);
        if (value < least) {
            throw bad(at + field, "must be at least " + (int) least + ' ' + what);
        }
        return value;
    }

    private double positive(JsonNode parent, String field, String at) throws SettingsException {
        double value = number(parent, field, at);
        if (value <= 0) {
            throw bad(at + field, "must be above 0");
        }
        return value;
    }

    private double optional(JsonNode parent, String field, String at) throws SettingsException {
        return parent.has(field) ? number(parent, field, at) : 0;
    }

    private SettingsException bad(String field, String problem) {
        return new SettingsException(file + ": " + field + " " + problem);
    }
}
