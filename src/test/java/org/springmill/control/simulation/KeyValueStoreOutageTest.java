package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.toController;
import static org.springmill.control.simulation.MessageMatchers.toKeyValueStore;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** The key-value store is down, for all controllers or for one of them. */
class KeyValueStoreOutageTest extends SingleFailureFixture {
    @ParameterizedTest
    @ValueSource(doubles = {5, 25})
    void followersKeepWorkerLeasesWhenTheLeaderIsPartitionedInAnOutage(double partitionSeconds) {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int isolated = cluster.leader();
        cluster.keyValueStore().setDown(true);
        cluster.run(3);
        cluster.partitionPeers(isolated, true);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                fromController(from, isolated) || toController(request, isolated)
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(partitionSeconds);
        cluster.keyValueStore().setDown(false);
        cluster.run(5);
        cluster.partitionPeers(isolated, false);
        deliverAllMessages();
        cluster.run(30);
        assertEquals(4, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, 4);
    }

    @Test
    void followerRefusedByTheStateServiceDoesNotKeepTheLeaderFromReplacingTasks() {
        submitService(0, JOB, "red", 2, 1);
        cluster.run(8);
        int refused = follower();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                (fromController(from, refused) && toKeyValueStore(request))
                                                || request.path().equals("/rentals/delete")
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
        cluster.run(5);
        SimWorker hung = cluster.workerRunning(FIRST_TASK);
        hung.setHung(true);
        cluster.run(25);
        // The cloud refuses all deletions, so only missing reports proved that the task was gone.
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void outageWithOneControllerPartitionedAndAnotherRestartedKeepsAllReplicas(boolean otherRuns) {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int leader = cluster.leader();
        cluster.partitionPeers((leader + 1) % 3, true);
        cluster.keyValueStore().setDown(true);
        if (!otherRuns) {
            cluster.restart((leader + 2) % 3);
        }
        cluster.run(25);
        // If the restarted controller cannot confirm the leader, the partitioned controller renews
        // the leases of the workers.
        assertEquals(4, cluster.running(JOB));
        cluster.keyValueStore().setDown(false);
        cluster.run(20);
        assertEquals(4, cluster.running(JOB));
    }

    @ParameterizedTest
    @CsvSource({"20, none", "20, leader", "20, all", "30, all"})
    void outageKillsNoTaskEvenIfControllersRestart(double durationSeconds, String killed) {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int leader = cluster.leader();
        cluster.keyValueStore().setDown(true);
        cluster.run(5);
        for (int i = 0; i < 3; i++) {
            if (killed.equals("all") || (killed.equals("leader") && i == leader)) {
                cluster.restart(i);
            }
        }
        cluster.run(durationSeconds - 5);
        assertEquals("503", cluster.phase(0, JOB).replace("running", "503"));
        cluster.keyValueStore().setDown(false);
        cluster.run(15);
        assertEquals(4, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, 4);
        assertEquals(
                201, cluster.submit(1, SimulatedCluster.job(OTHER, "red", "sweep", 1, 1, 1), 1));
    }

    /**
     * During an outage a controller without contact to the others renews the leases of its workers,
     * but only until the deadline of a cancellation that another controller may have confirmed
     * since. It cannot tell crashed controllers from controllers behind a packet filter, nor an
     * outage from a key-value store that refuses only this controller.
     */
    @ParameterizedTest
    @CsvSource({"false, 40, 1", "false, 60, 0", "true, 60, 0"})
    void soleControllerInAnOutageKeepsItsWorkersUntilACancellationCouldBeOverdue(
            boolean cancelled, double durationSeconds, int replicasLeft) {
        submitService(0, JOB, "red", 1, 1);
        cluster.run(8);
        SimWorker holder = cluster.workerRunning(FIRST_TASK);
        int isolated = cluster.leader();
        if (cancelled) {
            cluster.filterPeers();
            cluster.network()
                    .setDeliveryRule(
                            (from, request) ->
                                    fromController(from, isolated) && toKeyValueStore(request)
                                            ? Delivery.REFUSE
                                            : Delivery.DELIVER);
            assertEquals("cancelled", cluster.cancel((isolated + 1) % 3, JOB));
        }
        for (int i = 0; i < 3; i++) {
            if (i != isolated) {
                cluster.kill(i);
            }
        }
        cluster.keyValueStore().setDown(true);
        cluster.run(durationSeconds);
        // Without contact to this controller a later leader must not take missing reports as proof
        // that the tasks have ended.
        assertEquals(replicasLeft == 1, holder.epoch() == 1);
        assertEquals(replicasLeft, holder.running());
    }
}
