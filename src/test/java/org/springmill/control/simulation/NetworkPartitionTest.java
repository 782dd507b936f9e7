package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.fromWorker;
import static org.springmill.control.simulation.MessageMatchers.toController;
import static org.springmill.control.simulation.MessageMatchers.toKeyValueStore;
import static org.springmill.control.simulation.MessageMatchers.toWorker;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.transport.HttpClient.Request;

/** Partitions between the leader, the other controllers, the workers and the key-value store. */
class NetworkPartitionTest extends SingleFailureFixture {
    /** The leader is partitioned from one or more kinds of components for some time. */
    @ParameterizedTest
    @CsvSource({
        "state,                10", "state,                40",
        "state peers,          10", "state peers,          40",
        "state peers users,    60", "workers,              30",
        "state peers workers,  60",
    })
    void allReplicasRunOnceThePartitionOfTheLeaderIsOver(
            String lostConnections, double durationSeconds) {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        assertEquals(4, cluster.running(JOB));
        int isolated = cluster.leader();
        cluster.partitionPeers(isolated, lostConnections.contains("peers"));
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                isLost(lostConnections, isolated, from, request)
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(durationSeconds);
        deliverAllMessages();
        cluster.partitionPeers(isolated, false);
        cluster.run(40);
        assertEquals(4, cluster.running(JOB));
    }

    /** Whether a message is lost because the isolated controller lost the named connections. */
    private static boolean isLost(
            String lostConnections, int isolated, String from, Request request) {
        boolean fromIsolated = fromController(from, isolated);
        boolean state = fromIsolated && toKeyValueStore(request);
        boolean workers =
                (fromIsolated && toWorker(request))
                        || (fromWorker(from) && toController(request, isolated));
        return (state && lostConnections.contains("state"))
                || (workers && lostConnections.contains("workers"))
                || (from.equals("user") && lostConnections.contains("users"));
    }

    @Test
    void packetFilterBetweenControllersCausesAtMostOneLeaderChange() {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(5);
        int changes = 0;
        int leader = cluster.leader();
        cluster.filterPeers();
        for (int i = 0; i < 100; i++) {
            cluster.run(0.3);
            if (cluster.leader() >= 0 && cluster.leader() != leader) {
                leader = cluster.leader();
                changes++;
            }
        }
        assertTrue(changes <= 1, "leader changes: " + changes);
        assertEquals(4, cluster.running(JOB));
    }

    @Test
    void leaderReachingOnlyTheStateServiceDoesNotTakeMissingReportsAsProof() {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int isolated = cluster.leader();
        cluster.partitionPeers(isolated, true);
        // The other controllers see an outage and, without a leader, renew the leases of the
        // workers; the leader receives no report from any worker.
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean othersState =
                                    !fromController(from, isolated) && toKeyValueStore(request);
                            boolean workers = isBetweenWorkersAnd(isolated, from, request);
                            return othersState
                                    ? Delivery.REFUSE
                                    : workers ? Delivery.DROP : Delivery.DELIVER;
                        });
        cluster.run(60);
        cluster.partitionPeers(isolated, false);
        deliverAllMessages();
        cluster.run(60);
        assertEquals(4, cluster.running(JOB));
    }

    @Test
    void leaderPartitionedFromItsWorkersIsReplacedBeforeTheirLeasesEnd() {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int isolated = cluster.leader();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                isBetweenWorkersAnd(isolated, from, request)
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(40);
        assertNotEquals(isolated, cluster.leader());
        assertEachTaskStartedOnce(JOB, 4);
    }

    @Test
    void machineReachableOnlyByTheOldLeaderEndsCancelledTasksInTime() {
        submitService(0, JOB, "red", 2, 1);
        cluster.run(8);
        int isolated = cluster.leader();
        SimWorker machine = cluster.workerRunning(FIRST_TASK);
        cluster.partitionPeers(isolated, true);
        // One machine exchanges messages with the old leader only.
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean oldLeader =
                                    fromController(from, isolated) && toKeyValueStore(request);
                            boolean outwards =
                                    from.equals(machine.name()) && !toController(request, isolated);
                            boolean inwards =
                                    !fromController(from, isolated)
                                            && request.address().equals(machine.address());
                            return oldLeader || outwards || inwards
                                    ? Delivery.DROP
                                    : Delivery.DELIVER;
                        });
        cluster.run(15);
        assertNotEquals(isolated, cluster.leader());
        // A cancellation through another controller has to take effect in time on this machine too.
        assertEquals("cancelled", cluster.cancel((isolated + 1) % 3, JOB));
        cluster.run(50);
        assertEquals(0, cluster.running(JOB));
    }

    @Test
    void controllerThatReachesOnlyItsWorkersYieldsThemToTheNextLeader() {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        int isolated = cluster.leader();
        cluster.partitionPeers(isolated, true);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                fromController(from, isolated) && !toWorker(request)
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(30);
        assertNotEquals(isolated, cluster.leader());
        assertEquals("cancelled", cluster.cancel(cluster.leader(), JOB));
        cluster.run(4);
        assertEquals(0, cluster.running(JOB), "the new leader reaches the workers");
    }

    /** Whether a message goes from any worker to this controller, or from it to any worker. */
    private static boolean isBetweenWorkersAnd(int controller, String from, Request request) {
        return (fromWorker(from) && toController(request, controller))
                || (fromController(from, controller) && toWorker(request));
    }
}
