package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * Fleets at least as large as those of the largest deployments. The bounds are on numbers of
 * requests and not on processing time, so that they hold on any machine.
 */
class LargeFleetTest extends ClusterFixture {
    private static final int REPLICAS = 8;
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private final Map<String, Integer> requests = new HashMap<>();
    private int largestRequestBytes;

    /** Counts requests without changes, then for one array, then for a change of the leader. */
    @Test
    void requestsFollowChangesAndNotTheSizeOfTheFleet() {
        int machines = 200;
        int jobs = 120;
        startFleet(machines, SimOptions.DEFAULTS);
        submitServices(jobs);
        cluster.run(20);
        assertEquals(jobs * REPLICAS, running(jobs));
        int rounds = cluster.keyValueStore().keysUnder("round/").size();
        assertTrue(rounds <= 2 * jobs, rounds + " round keys for " + jobs + " jobs");

        idleFleetCausesHardlyAnyRequest(machines);
        arrayCausesOneCommandForEachMachineAndTask();
        takeoverAsksEveryMachineAboutOnce(jobs);
    }

    private void idleFleetCausesHardlyAnyRequest(int machines) {
        requests.clear();
        cluster.run(20);
        assertAtMost(machines / 20, "/orders", "while nothing changes");
        assertAtMost(4, "/commit", "while nothing changes");
        assertAtMost(4, "/rentals/delete", "while idle machines are returned");
    }

    private void arrayCausesOneCommandForEachMachineAndTask() {
        requests.clear();
        cluster.submit(0, SimulatedCluster.job("run-900000", "blue", "sweep", 100, 1, 0), 5);
        cluster.run(20);
        assertEquals("done", cluster.phase(1, "run-900000"));
        assertAtMost(20, "/commit", "for one array");
        assertAtMost(5 * 100, "/orders", "for one array of 100 tasks");
    }

    private void takeoverAsksEveryMachineAboutOnce(int jobs) {
        requests.clear();
        cluster.kill(cluster.leader());
        cluster.run(20);
        assertEquals(jobs * REPLICAS, running(jobs));
        int machines = machines().size();
        assertAtMost(4 * machines, "/orders", "at a takeover of " + machines + " machines");
        assertAtMost(10, "/commit", "at a takeover");
        for (int i = 0; i < jobs; i++) {
            assertEquals(1, cluster.starts(id(i) + "/0"));
        }
    }

    /**
     * The number of requests after the loss of a rack and at a takeover is bounded by the number of
     * affected replicas and machines.
     */
    @Test
    void lostRackAndThenTheLeaderAreReplacedWithBoundedRequests() {
        int machines = 1600;
        int jobs = machines / 4;
        // The key-value store limits the rate of submissions. With the default settings idle
        // machines would be returned before the last jobs are accepted.
        startFleet(machines, SimOptions.DEFAULTS.withIdleBoots(100));
        submitServices(jobs);
        cluster.run(20);
        assertEquals(jobs * REPLICAS, running(jobs));

        int up = machines().size();
        lostRackIsReplaced(machines().subList(0, up / 5), jobs);

        requests.clear();
        cluster.kill(cluster.leader());
        cluster.run(12);
        assertEquals(jobs * REPLICAS, running(jobs));
        assertAtMost(4 * up, "/orders", "at a takeover of " + up + " machines");
        assertAtMost(10, "/commit", "at a takeover");
        assertTrue(
                largestRequestBytes <= MAX_REQUEST_BYTES,
                "a request of " + largestRequestBytes + " bytes");
    }

    private void lostRackIsReplaced(List<SimWorker> rack, int jobs) {
        requests.clear();
        int lost = running(rack);
        assertTrue(lost > 0, "the lost rack runs no task");
        rack.forEach(worker -> worker.setHung(true));
        cluster.run(9);
        assertEquals(
                jobs * REPLICAS,
                running(jobs) - running(rack),
                "replicas of the lost rack run on other machines within 9 s");
        assertAtMost(12, "/rentals/delete", "for a rack of " + rack.size());
        assertAtMost(60, "/commit", "for " + lost + " replicas");
        assertAtMost(3 * lost + 4 * rack.size(), "/orders", "for " + lost + " replicas");
    }

    /** Starts controllers and machines; no further machines can be rented. */
    private void startFleet(int machines, SimOptions options) {
        cluster =
                new SimulatedCluster(options)
                        .machines("large", "a", machines / 2)
                        .machines("large", "b", machines / 2)
                        .run(6);
        cluster.cloud().exhaustCapacity();
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            requests.merge(request.path(), 1, Integer::sum);
                            largestRequestBytes =
                                    Math.max(largestRequestBytes, request.body().length);
                            return Delivery.DELIVER;
                        });
    }

    /** Submits services through all controllers in turn. */
    private void submitServices(int jobs) {
        for (int i = 0; i < jobs; i++) {
            var job = SimulatedCluster.job(id(i), "blue", "service", REPLICAS, 4, 0);
            assertEquals(201, cluster.submit(i % CONTROLLERS, job, FOREVER));
        }
    }

    private static String id(int job) {
        return String.format("run-%06d", job);
    }

    private int running(int jobs) {
        int running = 0;
        for (int i = 0; i < jobs; i++) {
            running += cluster.running(id(i));
        }
        return running;
    }

    private static int running(List<SimWorker> machines) {
        return machines.stream().mapToInt(SimWorker::running).sum();
    }

    private void assertAtMost(int bound, String path, String when) {
        int count = requests.getOrDefault(path, 0);
        assertTrue(count <= bound, count + " requests to " + path + " " + when);
    }
}
