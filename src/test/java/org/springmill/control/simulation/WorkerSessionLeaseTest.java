package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimWorker;

/**
 * A worker's lease also runs from the beginning of its session, without any answered heartbeat. Its
 * heartbeats reach no controller here, and the cloud refuses to delete machines.
 */
class WorkerSessionLeaseTest extends CompoundFailureFixture {
    private static final String SMALL = "run-000003";
    private static final String OTHER_TASK = OTHER + "/0";
    private static final double STEP_SECONDS = 0.02;

    @Test
    void taskOnAWorkerFirstHeardInACommandResponseDoesNotRunTwice() {
        startCluster(1);
        acceptService(JOB, "blue", 4, 8);
        cluster.run(6);
        SimWorker booting = cluster.addMachine("large", "a", 26);
        cluster.network().blockHeartbeatsFrom(booting);
        cluster.restart(cluster.leader());
        cluster.run(4);
        acceptService(OTHER, "blue", 1, 8);
        cluster.cloud().setDown(true);
        runUntil(() -> booting.hasTask(OTHER_TASK), 30);
        cluster.cancel(follower(), JOB);
        cluster.run(5);
        assertTrue(booting.runs(OTHER_TASK));
        assertEquals(1, cluster.starts(OTHER_TASK));
    }

    @Test
    void taskInASessionBegunAfterTheLastAnsweredHeartbeatDoesNotRunTwice() {
        startCluster(1);
        acceptService(JOB, "blue", 3, 7);
        acceptService(OTHER, "blue", 1, 7);
        acceptService(SMALL, "blue", 4, 1);
        cluster.run(6);
        SimWorker unheard = cluster.workerRunning(FIRST_TASK);
        cluster.network().delayRequests((from, request) -> from.equals(unheard.name()) ? 2 : 0);
        cluster.run(3);
        cluster.network().blockHeartbeatsFrom(unheard);
        cluster.cloud().setDown(true);
        runUntil(() -> !unheard.runs(FIRST_TASK), 20);
        int startsBefore = cluster.starts(FIRST_TASK);
        cluster.cancel(follower(), SMALL);
        runUntil(() -> unheard.hasTask(FIRST_TASK), 2);
        cluster.cancel(follower(), OTHER);
        cluster.run(5);
        assertTrue(unheard.runs(FIRST_TASK));
        assertEquals(startsBefore + 1, cluster.starts(FIRST_TASK));
    }

    private void runUntil(BooleanSupplier condition, double maxSeconds) {
        double end = cluster.clock().now() + maxSeconds;
        while (!condition.getAsBoolean() && cluster.clock().now() < end) {
            cluster.run(STEP_SECONDS);
        }
        assertTrue(condition.getAsBoolean(), "within " + maxSeconds + " s");
    }
}
