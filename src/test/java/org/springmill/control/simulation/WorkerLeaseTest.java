package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromWorker;
import static org.springmill.control.simulation.MessageMatchers.isCommand;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Machines that hang, are unreachable or fail tasks, and the leases of their workers. */
class WorkerLeaseTest extends SingleFailureFixture {
    @ParameterizedTest
    @ValueSource(doubles = {3, 5, 8})
    void fleetUnreachableForLessThanALeaseKeepsItsMachinesAndTasks(double durationSeconds) {
        submitService(0, JOB, "blue", 8, 4);
        cluster.run(8);
        int before = cluster.cloud().machines().size();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                fromWorker(from) || isCommand(request)
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(durationSeconds);
        deliverAllMessages();
        cluster.run(30);
        assertEquals(before, cluster.cloud().machines().size());
        assertEachTaskStartedOnce(JOB, 8);
    }

    @Test
    void replicasOfAHungMachineAreReplacedBeforeItsLeaseEnds() {
        submitService(0, JOB, "red", 1, 1);
        cluster.run(8);
        cluster.workerRunning(FIRST_TASK).setHung(true);
        cluster.run(11);
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    @Test
    void expiredLeaseIsCountedOnceWhileTheEndOfItsAttemptWaitsForItsCommit() {
        submitService(0, JOB, "red", 1, 1);
        cluster.run(8);
        cluster.cloud().setDown(true);
        cluster.workerRunning(FIRST_TASK).setHung(true);
        cluster.run(12);
        cluster.keyValueStore().delayCommits(0.6);
        cluster.run(6);
        String metrics =
                new String(
                        cluster.ask(cluster.leader(), "GET", "/metrics", "").body(),
                        StandardCharsets.UTF_8);
        assertTrue(metrics.contains("springmill_worker_leases_expired_total 1.00000\n"), metrics);
    }

    @Test
    void jobsRunElsewhereWhenCommandsDoNotReachAReportingMachine() {
        SimWorker unreachable = cluster.cloud().machines().values().iterator().next();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                request.address().equals(unreachable.address())
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        for (int i = 0; i < 8; i++) {
            submitService(0, "run-00030" + i, "blue", 1, 2);
        }
        cluster.run(60);
        for (int i = 0; i < 8; i++) {
            assertEquals(1, cluster.running("run-00030" + i), "job " + i);
        }
    }

    @Test
    void allJobsCompleteDespiteAMachineThatFailsEveryTask() {
        SimWorker faulty = cluster.cloud().machines().values().iterator().next();
        faulty.failAllTasks();
        for (int i = 0; i < 8; i++) {
            cluster.submit(0, SimulatedCluster.job("run-00040" + i, "blue", "sweep", 4, 1, 1), 5);
        }
        cluster.run(90);
        for (int i = 0; i < 8; i++) {
            assertEquals("done", cluster.phase(0, "run-00040" + i), "job " + i);
        }
    }
}
