package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Tasks so small that a machine has room for more than its heartbeat can list. */
class ManyTasksOnAMachineTest extends SingleFailureFixture {
    private static final int TASKS = 3000;
    private static final double CPUS = 0.01;
    private static final double RUN_SECONDS = 25;

    /** Two machines suffice for all tasks in three runs, and four are there. */
    private static final double DONE_WITHIN_SECONDS = 120;

    private static ObjectNode tinyTasks(String id, int tasks) {
        ObjectNode job = SimulatedCluster.job(id, "blue", "sweep", tasks, CPUS, 0);
        return job.put("memGb", 0.01).put("expectS", RUN_SECONDS);
    }

    private void assertNoLeaseEnded() {
        for (SimWorker machine : machines()) {
            assertEquals(1, machine.epoch(), machine.name());
        }
        assertEquals(0, cluster.network().refusedForSize());
    }

    /** Guards against served: leases ended again and again with all that ran on the machine. */
    @Test
    void anArrayOfTinyTasksCostsNoLease() {
        acceptService(JOB, "red", 2, 0);
        cluster.run(4);
        accept(tinyTasks(OTHER, TASKS), RUN_SECONDS);
        cluster.run(RUN_SECONDS);
        assertNoLeaseEnded();
        assertEachTaskStartedOnce(JOB, 2);
        cluster.run(DONE_WITHIN_SECONDS - RUN_SECONDS);
        assertNoLeaseEnded();
        assertEquals(2, cluster.running(JOB));
        assertEquals("done", cluster.phase(0, OTHER));
        assertEachTaskStartedOnce(OTHER, TASKS);
    }

    /** Guards against served: ended tasks take more of a heartbeat, and stay in it in an outage. */
    @Test
    void tasksThatEndWhileNobodyClearsThemCostNoLease() {
        accept(tinyTasks(OTHER, TASKS), RUN_SECONDS);
        cluster.run(10);
        cluster.keyValueStore().setDown(true);
        cluster.run(RUN_SECONDS + 10);
        assertNoLeaseEnded();
        cluster.keyValueStore().setDown(false);
        cluster.run(DONE_WITHIN_SECONDS);
        assertNoLeaseEnded();
        assertEquals("done", cluster.phase(0, OTHER));
        assertEachTaskStartedOnce(OTHER, TASKS);
    }

    /**
     * Guards against ran_cancelled: commands for all tasks of a machine are due at once.
     *
     * @param leaderCrashes whether the leader crashes at the same time, so that others stop them
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void allTasksOfAMachineAreStoppedAtOnce(boolean leaderCrashes) {
        accept(tinyTasks(OTHER, TASKS), FOREVER);
        cluster.run(15);
        assertTrue(cluster.running(OTHER) > TASKS / 2);
        assertEquals("cancelled", cluster.cancel(follower(), OTHER));
        if (leaderCrashes) {
            cluster.restart(cluster.leader());
        }
        cluster.run(10);
        assertEquals(0, cluster.running(OTHER));
        cluster.run(10);
        assertNoLeaseEnded();
    }

    /**
     * Guards against served: a machine that already has more tasks than its heartbeat can list, as
     * after an upgrade, is in order again after one lease at most.
     */
    @Test
    void aMachineWithTooManyTasksRecovers() {
        acceptService(JOB, "red", 2, 0);
        cluster.run(4);
        SimWorker crowded = machines().get(0);
        cluster.registerStoredJob(tinyTasks(OTHER, TASKS / 2));
        cluster.setRunSeconds(OTHER, FOREVER);
        cluster.startUnknownTasks(crowded, OTHER, TASKS / 2);
        cluster.run(2);
        assertTrue(cluster.network().refusedForSize() > 0);
        cluster.run(20);
        int refused = cluster.network().refusedForSize();
        cluster.run(30);
        assertEquals(refused, cluster.network().refusedForSize());
        assertTrue(crowded.epoch() <= 2);
        assertEquals(2, cluster.running(JOB));
    }
}
