package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Machines are rented, evacuated before they are reclaimed, drained and returned. */
class AutoscalerTest extends SingleFailureFixture {
    @Test
    void replicaIsMovedFromAMachineWithPreemptionNoticeInTime() {
        submitService(0, JOB, "red", 1, 1);
        cluster.run(5);
        SimWorker first = cluster.workerRunning(FIRST_TASK);
        first.givePreemptionNotice(10);
        cluster.run(5);
        assertNotNull(cluster.workerRunning(FIRST_TASK));
        assertNotEquals(first.name(), cluster.workerRunning(FIRST_TASK).name());
    }

    @Test
    void pendingTasksGetRentedMachinesAndIdleOnesAreReturned() {
        submitService(0, JOB, "blue", 6, 8);
        cluster.run(45);
        assertEquals(6, cluster.running(JOB));
        assertEquals("cancelled", cluster.cancel(0, JOB));
        cluster.run(200);
        assertEquals(0, cluster.cloud().machines().size(), "idle machines are returned");
    }

    @Test
    void underusedMachineIsDrainedAndItsReplicasMoveAtMostOnce() {
        // Four replicas of 3 GPUs use two machines of 8 GPUs in each zone. Two of them
        // fit on one machine.
        for (int i = 0; i < 8; i++) {
            var job = SimulatedCluster.job("run-00060" + i, "blue", "service", 1, 1, 3);
            cluster.submit(0, job.put("yard", i < 4 ? "a" : "b"), FOREVER);
        }
        cluster.run(30);
        for (int i = 0; i < 8; i += 4) {
            String first = cluster.workerRunning("run-00060" + i + "/0").name();
            for (int j = i + 1; j < i + 4; j++) {
                if (cluster.workerRunning("run-00060" + j + "/0").name().equals(first)) {
                    cluster.cancel(0, "run-00060" + j);
                    break;
                }
            }
        }
        cluster.run(90);
        int running = 0;
        for (int i = 0; i < 8; i++) {
            running += cluster.running("run-00060" + i);
            assertTrue(cluster.starts("run-00060" + i + "/0") <= 2, "moved at most once");
        }
        assertEquals(6, running);
        assertEquals(
                4,
                cluster.cloud().machines().size(),
                "three replicas of 3 GPUs do not fit one machine of 8");
        for (int i = 0; i < 8; i += 4) {
            for (int j = i; j < i + 4; j++) {
                if (cluster.running("run-00060" + j) == 1 && j % 4 != 0) {
                    cluster.cancel(0, "run-00060" + j);
                    break;
                }
            }
        }
        cluster.run(180);
        assertEquals(
                2,
                cluster.cloud().machines().size(),
                "two replicas of 3 GPUs fit one machine of 8");
        assertEquals(4, IntStream.range(0, 8).map(i -> cluster.running("run-00060" + i)).sum());
    }

    /**
     * Guards against waiting for a machine that is gone: it is reclaimed when the leader fails, and
     * the next leader reads a stale list that still names it. While it counted as booting, for
     * three and a half boot times, no replacement was rented.
     */
    @Test
    void machineInAStaleListIsReplacedOnceNewerListsLackIt() {
        for (int i = 0; i < 3; i++) {
            submitService(0, "run-00070" + i, "blue", 1, 8);
        }
        cluster.run(3);
        SimWorker idle =
                machines().stream().filter(machine -> machine.running() == 0).findAny().get();
        cluster.cloud().freezeMachineList();
        cluster.cloud().reclaim(idle);
        cluster.kill(cluster.leader());
        cluster.run(10);
        cluster.cloud().resumeMachineList();
        submitService(cluster.leader(), OTHER, "blue", 1, 8);
        cluster.run(45);
        assertEquals(1, cluster.running(OTHER));
    }
}
