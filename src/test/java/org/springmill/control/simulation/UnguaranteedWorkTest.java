package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/**
 * Work of a team without a guarantee: a large array of short tasks, many one-task jobs, and work on
 * capacity that others leave idle. The cluster has four machines with 32 CPUs and 8 GPUs at a price
 * of 10 per hour; small machines with 4 CPUs at 0.2 per hour can be rented and boot in 20 s.
 */
class UnguaranteedWorkTest extends ClusterFixture {
    private static final String TEAM_WITHOUT_GUARANTEE = "guest";
    private static final double TASK_CPUS = 0.25;
    private static final int SHORT_TASKS = 1600;
    private static final double SHORT_SECONDS = 4;

    @BeforeEach
    void start() {
        startCluster(41);
    }

    private static ObjectNode unguaranteedArray(String id, int tasks, double seconds) {
        return SimulatedCluster.job(id, TEAM_WITHOUT_GUARANTEE, "sweep", tasks, TASK_CPUS, 0)
                .put("urgency", "best_effort")
                .put("memGb", 0.1)
                .put("expectS", seconds);
    }

    /**
     * Guards against renting a machine for every sixteen tasks, as many as fit one at a time,
     * although the tasks take only 4 s each.
     */
    @Test
    void fewMachinesAreRentedForManyShortTasks() {
        // This service fills the four machines, so the whole array runs on newly rented ones.
        accept(SimulatedCluster.job(OTHER, "blue", "service", 4, 32, 8), FOREVER);
        cluster.run(5);
        accept(unguaranteedArray(JOB, SHORT_TASKS, SHORT_SECONDS), SHORT_SECONDS);
        cluster.run(40);
        cluster.kill(cluster.leader());
        cluster.run(120);
        assertEquals("done", cluster.phase(follower(), JOB));
        int rented = cluster.cloud().everRented() - 4;
        double slots = SHORT_TASKS * SHORT_SECONDS / 20;
        assertTrue(rented <= Math.ceil(slots * TASK_CPUS / 4) + 2, rented + " machines rented");
    }

    /**
     * A team without a guarantee uses capacity that other teams leave idle, and is preempted for
     * work of higher priority.
     */
    @Test
    void unguaranteedWorkUsesIdleCapacityAndIsPreempted() {
        cluster.cloud().exhaustCapacity();
        acceptService(JOB, "blue", 4, 4);
        cluster.run(5);
        accept(unguaranteedArray(OTHER, 2000, 60), 60);
        cluster.run(10);
        assertTrue(
                cluster.running(OTHER) >= 100,
                "too few tasks run on the machines next to blue's replicas");

        accept(
                SimulatedCluster.job("run-000003", "red", "service", 1, 30, 4)
                        .put("urgency", "prod"),
                FOREVER);
        cluster.run(8);
        assertEquals(1, cluster.running("run-000003"));
        assertEquals(4, cluster.running(JOB));
    }

    /** Guards against one-task jobs that never run, or run twice, when the leader changes. */
    @Test
    void manyOneTaskJobsEndAcrossAChangeOfLeader() {
        int jobs = 120;
        for (int i = 0; i < jobs; i++) {
            int controller = i % CONTROLLERS;
            if (i == jobs / 2) {
                cluster.restart(cluster.leader());
                cluster.run(6);
            }
            String id = String.format("run-%06d", 1000 + i);
            assertEquals(201, cluster.submit(controller, unguaranteedArray(id, 1, 10), 10));
        }
        cluster.run(90);
        for (int i = 0; i < jobs; i++) {
            String id = String.format("run-%06d", 1000 + i);
            assertEquals("done", cluster.phase(follower(), id));
            assertEquals(1, cluster.starts(id + "/0"));
        }
    }
}
