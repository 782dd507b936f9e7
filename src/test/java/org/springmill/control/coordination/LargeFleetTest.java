package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimNetwork.Fate;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * The service at the size to which its deployments have grown: bounds on counted work, never on
 * time.
 */
class LargeFleetTest {
    private static final int MACHINES = 200;
    private static final int JOBS = 120;
    private static final int REPLICAS = 8;

    private final Map<String, Integer> counted = new HashMap<>();

    private int count(String path) {
        return counted.getOrDefault(path, 0);
    }

    @Test
    void workFollowsWhatChangesAndNotTheSizeOfTheFleet() {
        SimulatedCluster cluster =
                new SimulatedCluster()
                        .machines("large", "a", MACHINES / 2)
                        .machines("large", "b", MACHINES / 2)
                        .run(6);
        cluster.cloud().runOut();
        cluster.network()
                .judge(
                        (from, request) -> {
                            counted.merge(request.path(), 1, Integer::sum);
                            return Fate.DELIVER;
                        });
        // Idle machines would go back: the first jobs take a place on every machine.
        for (int i = 0; i < JOBS; i++) {
            var job =
                    SimulatedCluster.job(
                            String.format("run-%06d", i), "blue", "service", REPLICAS, 4, 0);
            assertEquals(201, cluster.submit(i % 3, job, Double.POSITIVE_INFINITY));
        }
        cluster.run(20);
        assertEquals(JOBS * REPLICAS, running(cluster));
        int rounds = cluster.state().keysUnder("round/").size();
        assertTrue(rounds <= 2 * JOBS, rounds + " keys of rounds for " + JOBS + " jobs");

        // Nothing happens: no orders, and hardly a write.
        counted.clear();
        cluster.run(20);
        assertTrue(
                count("/orders") <= MACHINES / 20,
                count("/orders") + " orders while nothing happens");
        assertTrue(count("/commit") <= 4, count("/commit") + " commits while nothing happens");
        assertTrue(
                count("/rentals/delete") <= 4,
                count("/rentals/delete") + " deletions, though machines go by the dozen");

        // One array: commits by the round, one order for each machine that it touches, and its
        // ends.
        counted.clear();
        cluster.submit(0, SimulatedCluster.job("run-900000", "blue", "sweep", 100, 1, 0), 5);
        cluster.run(20);
        assertEquals("done", cluster.phase(1, "run-900000"));
        assertTrue(count("/commit") <= 20, count("/commit") + " commits for one array");
        assertTrue(
                count("/orders") <= 5 * 100,
                count("/orders") + " orders for one array of 100 tasks");

        // A takeover asks every machine about once, and starts nothing again.
        counted.clear();
        cluster.kill(cluster.leader());
        cluster.run(20);
        assertEquals(JOBS * REPLICAS, running(cluster));
        int machines = cluster.cloud().machines().size();
        assertTrue(
                count("/orders") <= 4 * machines,
                count("/orders") + " orders at a takeover of " + machines);
        assertTrue(count("/commit") <= 10, count("/commit") + " commits at a takeover");
        for (int i = 0; i < JOBS; i++) {
            assertEquals(1, cluster.starts(String.format("run-%06d/0", i)));
        }
        assertEquals(List.of(), cluster.broken());
    }

    /**
     * A fleet half as large again as any yet: what a lost rack and a takeover cost is bounded by
     * what they touch.
     */
    @Test
    void aRackOfALargeFleetIsReplacedAndItsLeaderToo() {
        int machines = 1600;
        SimulatedCluster cluster =
                new SimulatedCluster()
                        .machines("large", "a", machines / 2)
                        .machines("large", "b", machines / 2)
                        .run(6);
        cluster.cloud().runOut();
        int[] bytes = new int[1];
        cluster.network()
                .judge(
                        (from, request) -> {
                            counted.merge(request.path(), 1, Integer::sum);
                            bytes[0] = Math.max(bytes[0], request.body().length);
                            return Fate.DELIVER;
                        });
        int jobs = machines / 4;
        for (int i = 0; i < jobs; i++) {
            var job =
                    SimulatedCluster.job(
                            String.format("run-%06d", i), "blue", "service", REPLICAS, 4, 0);
            assertEquals(201, cluster.submit(i % 3, job, Double.POSITIVE_INFINITY));
        }
        cluster.run(20);
        assertEquals(jobs * REPLICAS, running(cluster, jobs));

        counted.clear();
        int up = cluster.cloud().machines().size();
        List<SimWorker> rack =
                new ArrayList<>(cluster.cloud().machines().values()).subList(0, up / 5);
        int lost = rack.stream().mapToInt(SimWorker::running).sum();
        assertTrue(lost > 0, "the rack ran something");
        rack.forEach(worker -> worker.hang(true));
        cluster.run(9);
        assertEquals(
                jobs * REPLICAS,
                running(cluster, jobs) - rack.stream().mapToInt(SimWorker::running).sum(),
                "all that the rack ran is up elsewhere within " + 9 + " s");
        assertTrue(
                count("/rentals/delete") <= 12,
                count("/rentals/delete") + " deletions for a rack of " + rack.size());
        assertTrue(count("/commit") <= 60, count("/commit") + " commits for " + lost + " replicas");
        assertTrue(
                count("/orders") <= 3 * lost + 4 * rack.size(),
                count("/orders") + " orders for " + lost + " replicas");

        counted.clear();
        cluster.kill(cluster.leader());
        cluster.run(12);
        assertEquals(jobs * REPLICAS, running(cluster, jobs));
        assertTrue(count("/orders") <= 4 * up, count("/orders") + " orders at a takeover of " + up);
        assertTrue(count("/commit") <= 10, count("/commit") + " commits at a takeover");
        assertTrue(bytes[0] <= 64 * 1024, "a request of " + bytes[0] + " bytes");
        assertEquals(List.of(), cluster.broken());
    }

    private static int running(SimulatedCluster cluster, int jobs) {
        int running = 0;
        for (int i = 0; i < jobs; i++) {
            running += cluster.running(String.format("run-%06d", i));
        }
        return running;
    }

    private static int running(SimulatedCluster cluster) {
        return running(cluster, JOBS);
    }
}
