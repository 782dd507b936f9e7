package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.fromWorker;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** A zone, with its machines and one controller, is partitioned from everything else. */
class ZonePartitionTest extends SingleFailureFixture {
    /**
     * The tasks of a partitioned zone keep running, whether the leader is inside the zone or not,
     * and also when all controllers restart during the partition.
     */
    @ParameterizedTest
    @CsvSource({
        "true, false, false",
        "false, false, false",
        "false, true, false",
        "true, true, true"
    })
    void partitionedZoneKeepsItsTasksAndMachines(
            boolean leaderInside, boolean restarts, boolean outage) {
        var spread = SimulatedCluster.job(JOB, "red", "service", 4, 1, 4);
        spread.put("apart", true);
        cluster.submit(0, spread, FOREVER);
        submitService(0, OTHER, "blue", 4, 4);
        cluster.run(8);
        int before = cluster.cloud().machines().size();
        int controllerInside = leaderInside ? cluster.leader() : follower();
        partitionZone("b", controllerInside);
        cluster.keyValueStore().setDown(outage);
        cluster.run(15);
        if (restarts) {
            for (int i = 0; i < 3; i++) {
                cluster.restart(i);
            }
        }
        cluster.keyValueStore().setDown(false);
        cluster.run(45);
        assertEquals(4, cluster.running(JOB));
        healZone(controllerInside);
        cluster.run(30);
        assertEquals(4, cluster.running(JOB));
        assertEquals(before, cluster.cloud().machines().size(), "no machine was returned");
        for (int i = 0; i < 4; i++) {
            assertEquals(1, cluster.starts(JOB + "/" + i), "task " + i);
            assertEquals(1, cluster.starts(OTHER + "/" + i), "task " + i);
        }
    }

    /**
     * After the partition of a zone its machines report one after the other, at first with the
     * token of the leader that was inside the zone. Machines that report late, or that had no time
     * to report the new token, must not be deleted together with their tasks.
     */
    @Test
    void machinesOfAZoneAreKeptWhileTheyReconnectAfterItsPartition() {
        submitService(0, JOB, "blue", 8, 4);
        cluster.run(8);
        assertEquals(8, cluster.running(JOB));
        int controllerInside = cluster.leader();
        partitionZone("b", controllerInside);
        cluster.run(60);
        assertNotEquals(controllerInside, cluster.leader());
        List<SimWorker> zoneMachines =
                cluster.cloud().machines().values().stream()
                        .filter(m -> m.zone().equals("b"))
                        .toList();
        Set<String> addresses = new HashSet<>();
        zoneMachines.forEach(worker -> addresses.add(worker.address()));
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                from.equals(zoneMachines.get(0).name())
                                                || addresses.contains(request.address())
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.partitionPeers(controllerInside, false);
        cluster.run(4);
        deliverAllMessages();
        cluster.run(30);
        assertEachTaskStartedOnce(JOB, 8);
        assertEquals(8, cluster.running(JOB));
    }

    /**
     * Workers get higher tokens between two partitions. During the second one the controllers must
     * not decide by the tokens of the first.
     */
    @Test
    void zonePartitionedTwiceKeepsItsTasksBothTimes() {
        submitService(0, JOB, "blue", 8, 4);
        cluster.run(8);
        int controllerInside = follower();
        for (int partition = 0; partition < 2; partition++) {
            // First no worker reaches any controller, so that the controller inside the zone
            // detects its isolation before the workers of the zone connect to it.
            cluster.partitionPeers(controllerInside, true);
            cluster.network()
                    .setDeliveryRule(
                            (from, request) ->
                                    fromWorker(from) || fromController(from, controllerInside)
                                            ? Delivery.DROP
                                            : Delivery.DELIVER);
            cluster.run(4);
            partitionZone("b", controllerInside);
            cluster.run(26);
            healZone(controllerInside);
            cluster.run(10);
            assertEquals(
                    201,
                    cluster.submit(
                            0,
                            SimulatedCluster.job(
                                    "run-00010" + partition, "blue", "sweep", 40, 1, 0),
                            1));
            cluster.run(20);
            assertEquals(
                    "done",
                    cluster.phase(0, "run-00010" + partition),
                    "commands that raise every worker's token");
        }
        assertEachTaskStartedOnce(JOB, 8);
    }

    /**
     * Cancelled tasks in a partitioned zone have to end in time, which also ends their machines and
     * the other tasks there, but not earlier than the deadline requires: the next leader reads the
     * time of the cancellation from the job's record. The replicas of the other job use the rest of
     * the zone's machines.
     */
    @ParameterizedTest
    @CsvSource({"20, 40, false", "3, 40, false", "3, 13, true"})
    void cancelledTasksInAPartitionedZoneEndInTime(
            double restartAfterSeconds, double partitionSeconds, boolean otherReplicasStay) {
        submitService(0, JOB, "blue", 4, 4);
        submitService(0, OTHER, "blue", 4, 4);
        cluster.run(8);
        int controllerInside = follower();
        partitionZone("b", controllerInside);
        cluster.run(5);
        int first = cluster.leader();
        assertEquals("cancelled", cluster.cancel(first, JOB));
        cluster.run(restartAfterSeconds);
        cluster.restart(first);
        cluster.run(partitionSeconds - restartAfterSeconds);
        healZone(controllerInside);
        cluster.run(20);
        assertEquals(0, cluster.running(JOB));
        assertEquals(4, cluster.running(OTHER));
        int starts = 0;
        for (int i = 0; i < 4; i++) {
            starts += cluster.starts(OTHER + "/" + i);
        }
        assertEquals(otherReplicasStay, starts == 4, starts + " starts");
    }
}
