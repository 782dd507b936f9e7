package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.OperatorSettings;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/** The key-value store refuses single requests of a new leader, at each step of its recovery. */
class RefusedRecoveryTest extends ClusterFixture {
    /** Each is claimed in a round of its own, so that the log is listed in two pages. */
    private static final int SERVICES = 120;

    private static final int SHORT_JOBS = 40;
    private static final double FAILOVER_SECONDS = 8;

    private int refusalsLeft;

    private static String service(int number) {
        return String.format("run-%06d", number);
    }

    private static String shortJob(int number) {
        return String.format("run-9%05d", number);
    }

    /**
     * Guards against ran_twice: a recovery that is retried forgets claims of running tasks, which
     * the leader after next starts again.
     *
     * @param recalls whether recalls of loans are on
     * @param step part of the path of the requests that are refused
     * @param times how many of them are
     */
    @ParameterizedTest
    @CsvSource({
        "true,  under=recall/,    1",
        "true,  under=recall/,    4",
        "true,  under=round/&lim, 1",
        "true,  from=round/,      3",
        "true,  round-log,        1",
        "true,  under=job/,       2",
        "false, under=round/&lim, 2",
        "false, from=round/,      1",
        "false, from=round/,      3",
        "false, round-log,        1",
        "false, under=job/,       1",
    })
    void noClaimIsForgottenWhicheverStepIsRefused(boolean recalls, String step, int times) {
        Optional<OperatorSettings.Borrowing> terms =
                recalls ? Optional.of(OperatorSettings.Borrowing.DEFAULTS) : Optional.empty();
        startCluster(new SimulatedCluster(SimOptions.DEFAULTS.withBorrowing(terms)));
        runServices();
        List<Integer> startsBefore = starts();
        refusalsLeft = times;
        cluster.keyValueStore().refuseRequests((from, request) -> isRefused(from, request, step));
        replaceLeader();
        assertEquals(0, refusalsLeft, "refusals that are left");
        runShortJobs();
        replaceLeader();
        cluster.run(FAILOVER_SECONDS);
        for (int number = 1; number <= SERVICES; number++) {
            assertEquals(1, cluster.running(service(number)), service(number));
        }
        assertEquals(startsBefore, starts());
    }

    private List<Integer> starts() {
        return IntStream.rangeClosed(1, SERVICES)
                .mapToObj(number -> cluster.starts(service(number) + "/0"))
                .toList();
    }

    private void runServices() {
        for (int number = 1; number <= SERVICES; number++) {
            submitService(follower(), service(number), "blue", 1, 0);
            cluster.run(0.3);
        }
        cluster.run(4);
        assertTrue(cluster.keyValueStore().keysUnder("round/").size() > 100);
    }

    private boolean isRefused(String from, Request request, String step) {
        boolean matches =
                from.equals("n-" + cluster.leader())
                        && request.method().equals("GET")
                        && request.path().contains(step)
                        && (step.startsWith("from") || !request.path().contains("from=round/"));
        if (!matches || refusalsLeft == 0) {
            return false;
        }
        refusalsLeft--;
        return true;
    }

    private void replaceLeader() {
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.run(FAILOVER_SECONDS);
        assertNotEquals(leader, cluster.leader());
        cluster.restart(leader);
        cluster.run(2);
    }

    private void runShortJobs() {
        for (int number = 1; number <= SHORT_JOBS; number++) {
            accept(SimulatedCluster.job(shortJob(number), "red", "sweep", 1, 0.1, 0), 0.5);
            cluster.run(1);
        }
    }
}
