package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Team limits, guarantees, spread over zones and room for large tasks. */
class ResourceLimitTest extends SingleFailureFixture {
    @Test
    void teamLimitAndSpreadHoldWhileMachinesDoNotReport() {
        var spread = SimulatedCluster.job(JOB, "red", "service", 6, 1, 2);
        spread.put("apart", true);
        cluster.submit(0, spread, FOREVER);
        cluster.run(8);
        assertEquals(6, cluster.running(JOB));
        // Two machines hang: they neither report nor stop tasks when the worker lease expires.
        // With six tasks of 2 GPUs each running, the team's limit of 16 GPUs allows two more.
        List<SimWorker> hung = cluster.cloud().machines().values().stream().limit(2).toList();
        hung.forEach(w -> w.setHung(true));
        submitService(1, OTHER, "red", 5, 2);
        cluster.run(60);
        hung.forEach(w -> w.setHung(false));
        cluster.run(40);
        assertEquals(6, cluster.running(JOB));
        assertEquals(2, cluster.running(OTHER));
    }

    @Test
    void taskGroupStartsOnlyAsAWholeAndRestartsAsAWhole() {
        cluster.cloud().exhaustCapacity();
        submitService(0, OTHER, "blue", 3, 8);
        cluster.submit(0, SimulatedCluster.job(JOB, "blue", "group", 4, 1, 4), 20);
        cluster.run(10);
        assertEquals(0, cluster.running(JOB), "there is room for only two of the four tasks");
        cluster.cancel(0, OTHER);
        cluster.run(8);
        assertEquals(4, cluster.running(JOB));
        cluster.workerRunning(FIRST_TASK).givePreemptionNotice(30);
        cluster.run(12);
        assertEquals(4, cluster.running(JOB));
        for (int i = 0; i < 4; i++) {
            assertEquals(2, cluster.starts(JOB + "/" + i), "task " + i);
        }
        cluster.run(30);
        assertEquals("done", cluster.phase(0, JOB));
    }

    /** Small services have to share a machine, so that large tasks still fit on others. */
    @Test
    void smallReplicasLeaveRoomForLargeOnes() {
        cluster.cloud().exhaustCapacity();
        submitService(0, JOB, "blue", 1, 8);
        cluster.run(4);
        for (int i = 0; i < 6; i++) {
            submitService(0, "run-00050" + i, "blue", 1, 1);
            cluster.run(1);
        }
        submitService(0, OTHER, "blue", 2, 8);
        cluster.run(8);
        assertEquals(2, cluster.running(OTHER));
    }

    /** Teams red and blue are guaranteed 8 of the 32 GPUs each. */
    @ParameterizedTest
    @CsvSource({
        // Red gets its guarantee by preemption of usage above blue's guarantee, and only once.
        "normal, normal, 8, 24",
        // Work of a lower priority preempts nothing.
        "normal, best_effort, 0, 32",
    })
    void guaranteeIsMetOnceAndOnlyFromUsageAboveAGuarantee(
            String runningPriority,
            String claimantPriority,
            int claimantsRunning,
            int othersRunning) {
        cluster.cloud().exhaustCapacity();
        var first = SimulatedCluster.job(JOB, "blue", "service", 32, 1, 1);
        cluster.submit(0, first.put("urgency", runningPriority), FOREVER);
        cluster.run(8);
        var second = SimulatedCluster.job(OTHER, "red", "service", 12, 1, 1);
        cluster.submit(0, second.put("urgency", claimantPriority), FOREVER);
        cluster.run(30);
        assertEquals(claimantsRunning, cluster.running(OTHER));
        assertEquals(othersRunning, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, 32);
    }

    /**
     * A job that cannot be placed because its team's limit is reserved for an earlier job must not
     * cause preemption of other tasks.
     */
    @Test
    void jobHeldBackByItsTeamLimitPreemptsNothing() {
        cluster = new SimulatedCluster().machines("large", "a", 4).run(6);
        cluster.cloud().exhaustCapacity();
        submitService(0, JOB, "blue", 32, 1);
        cluster.run(8);
        var elsewhere = SimulatedCluster.job(OTHER, "red", "service", 16, 1, 1);
        cluster.submit(0, elsewhere.put("yard", "b"), FOREVER);
        submitService(0, "run-000003", "red", 4, 1);
        cluster.run(20);
        assertEachTaskStartedOnce(JOB, 32);
        assertEquals(32, cluster.running(JOB));
    }
}
