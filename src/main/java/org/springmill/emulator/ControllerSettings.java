package org.springmill.emulator;

import java.util.List;

/** Formats the settings file of one controller, as docs/operations.md describes it. */
final class ControllerSettings {
    private static final String HEAD =
            """
            node = "%s"
            site = "%s"
            api_addr = "%s"
            peer_bind = "%s"
            [services]
            cloud = "%s"
            state = "%s"
            """;

    private static final String PEER =
            """
            [[seeds]]
            node = "%s"
            site = "%s"
            addr = "%s"
            """;

    private static final String TEAM =
            """
            [[cluster.teams]]
            name = "%s"
            cpus = %s
            cpus_max = %s
            gpus = %s
            gpus_max = %s
            """;

    private static final String LIMITS =
            """
            [cluster.workers]
            report_s = %s
            lease_s = %s
            cancel_s = %s
            [cluster.state]
            rps = %s
            write_rps = %s
            value_kb = %s
            txn_ops = %d
            [cluster.cloud]
            rps = %s
            list_lag_s = %s
            [cluster.machine_limits]
            cpu_share = %s
            ram_mb = %s
            max_sockets = %d
            """;

    private ControllerSettings() {}

    /** Name and addresses of one controller. */
    record Node(String name, String zone, String api, String peer) {}

    static String of(Scenario scenario, Node node, List<Node> all, String cloud, String state) {
        StringBuilder text = new StringBuilder();
        text.append(
                HEAD.formatted(node.name(), node.zone(), node.api(), node.peer(), cloud, state));
        all.stream()
                .filter(other -> !other.equals(node))
                .forEach(
                        other ->
                                text.append(
                                        PEER.formatted(other.name(), other.zone(), other.peer())));
        text.append("[cluster]\nskew_ms = 10.0\nzones = [");
        text.append('"').append(String.join("\", \"", scenario.zoneNames())).append("\"]\n");
        for (int team = 0; team < scenario.teams().number(); team++) {
            Scenario.Teams teams = scenario.teams();
            text.append(
                    TEAM.formatted(
                            EmulatedUsers.teamName(team),
                            teams.cpus(),
                            teams.cpusMax(),
                            teams.gpus(),
                            teams.gpusMax()));
        }
        text.append(limits(scenario));
        return text.toString();
    }

    private static String limits(Scenario scenario) {
        Scenario.StoreLimits state = scenario.storeLimits();
        Scenario.Controllers controllers = scenario.controllers();
        return LIMITS.formatted(
                scenario.workers().reportSeconds(),
                scenario.workers().leaseSeconds(),
                scenario.workers().cancelSeconds(),
                state.requestsPerSecond(),
                state.writesPerSecond(),
                state.valueKb(),
                state.writesPerCommit(),
                scenario.cloudLimits().requestsPerSecond(),
                scenario.cloudLimits().listLagSeconds(),
                controllers.cpuShare(),
                controllers.memoryMb(),
                controllers.maxSockets());
    }
}
