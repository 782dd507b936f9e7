package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * The key-value store refuses the leader alone while other controllers confirm cancellations; then
 * it is down for all of them for longer than the cancellation deadline, while workers keep
 * reporting.
 */
class IsolatedLeaderCancellationTest extends SingleFailureFixture {
    private int leader;

    @BeforeEach
    void fourMachinesRunTwoJobs() {
        submitService(0, JOB, "blue", 4, 4);
        submitService(1, OTHER, "blue", 4, 4);
        cluster.run(8);
        assertEquals(8, cluster.running(JOB) + cluster.running(OTHER));
        leader = cluster.leader();
        assertNotEquals(-1, leader);
    }

    /**
     * @param partitionSeconds how long the leader is also partitioned from the other controllers
     * @param crash which controllers crash 6 s into the outage
     * @param otherReplicasKept whether no replica of the other job may be restarted; false where,
     *     because of a controller that restarted or is partitioned, it stays unknown for longer
     *     than the cancellation deadline which other jobs were cancelled
     */
    @ParameterizedTest
    @CsvSource({
        "0,  none,      true",
        "0,  confirmer, true",
        "0, leader, true",
        "0, all, false",
        "20, none,      true",
        "20, confirmer, false",
        "90, none,     false",
        "90, confirmer, false",
        "90, all, false",
    })
    void cancellationConfirmedByAnotherControllerEndsTasksInTime(
            double partitionSeconds, String crash, boolean otherReplicasKept) {
        cluster.keyValueStore().refuseController(leader, true);
        cluster.partitionPeers(leader, partitionSeconds > 0);
        cluster.run(1);
        int confirmer = (leader + 1) % 3;
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.run(6);
        for (int i = 0; i < 3; i++) {
            if (crash.equals("all")
                    || (crash.equals("confirmer") && i == confirmer)
                    || (crash.equals("leader") && i == leader)) {
                cluster.restart(i);
            }
        }
        cluster.run(Math.min(partitionSeconds, 40));
        if (partitionSeconds < 40) {
            cluster.partitionPeers(leader, false);
        }
        cluster.run(46 - Math.min(partitionSeconds, 40));
        assertEquals(0, cluster.running(JOB));
        cluster.partitionPeers(leader, false);
        cluster.keyValueStore().refuseController(leader, false);
        cluster.keyValueStore().setDown(false);
        cluster.run(60);
        assertEquals(4, cluster.running(OTHER));
        if (otherReplicasKept) {
            assertEachTaskStartedOnce(OTHER, 4);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals("cancelled", cluster.phase(i, JOB));
        }
    }

    /**
     * Responses between controllers are limited in size, so the leader learns of the cancellations
     * from several responses.
     */
    @Test
    void manyCancellationsReachTheReconnectedLeaderInParts() {
        cluster.keyValueStore().refuseController(leader, true);
        cluster.partitionPeers(leader, true);
        int other = (leader + 1) % 3;
        for (int i = 0; i < 130; i++) {
            String id = String.format("run-%06d", 1000 + i);
            assertEquals(
                    201,
                    cluster.submit(other, SimulatedCluster.job(id, "red", "sweep", 1, 1, 0), 1));
            assertEquals("cancelled", cluster.cancel(other, id));
        }
        assertEquals("cancelled", cluster.cancel(other, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.run(1);
        cluster.partitionPeers(leader, false);
        cluster.run(4);
        assertEquals(0, cluster.running(JOB));
        cluster.run(50);
        assertEquals(4, cluster.running(OTHER));
    }

    /**
     * No command reaches the machine of the cancelled task, so the leader has to delete the machine
     * to end the task.
     */
    @Test
    void leaderUnsureOfItsLeaseDeletesAMachineItCannotCommand() {
        SimWorker victim = cluster.workerRunning(JOB + "/0");
        cluster.keyValueStore().setDown(true);
        cluster.run(5);
        cluster.keyValueStore().setDown(false);
        cluster.keyValueStore().refuseController(leader, true);
        assertEquals("cancelled", cluster.cancel((leader + 1) % 3, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                request.address().equals(victim.address())
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(43);
        assertEquals(0, cluster.running(JOB));
    }
}
