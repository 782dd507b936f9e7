package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * Three controllers and four machines in two zones, all simulated, with the shorthands of the tests
 * that use them. After each test no invariant may have been broken.
 */
abstract class ClusterFixture {
    static final int CONTROLLERS = 3;
    static final String JOB = "run-000001";
    static final String OTHER = "run-000002";
    static final String FIRST_TASK = JOB + "/0";
    static final double FOREVER = Double.POSITIVE_INFINITY;

    private static final int MACHINES_PER_ZONE = 2;
    private static final double ELECTION_SECONDS = 6;

    /** Longer than any timeout. */
    private static final double LOST_SECONDS = 1e6;

    SimulatedCluster cluster;

    /** Starts controllers and machines, and waits until a leader is elected. */
    void startCluster(long seed) {
        startCluster(new SimulatedCluster(seed));
    }

    /** Adds machines to a cluster, and waits until a leader is elected. */
    void startCluster(SimulatedCluster started) {
        cluster =
                started.machines("large", "a", MACHINES_PER_ZONE)
                        .machines("large", "b", MACHINES_PER_ZONE)
                        .run(ELECTION_SECONDS);
        assertNotEquals(-1, cluster.leader());
    }

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), cluster.violations());
        assertEquals(List.of(), cluster.startsAfterCancel());
    }

    /** A controller that does not lead. */
    final int follower() {
        return (cluster.leader() + 1) % CONTROLLERS;
    }

    final List<SimWorker> machines() {
        return List.copyOf(cluster.cloud().machines().values());
    }

    /** Submits a job through a follower, which has to accept it. */
    final void accept(ObjectNode job, double runSeconds) {
        assertEquals(201, cluster.submit(follower(), job, runSeconds));
    }

    /** Submits a service of tasks with one CPU each through a follower, which has to accept it. */
    final void acceptService(String id, String team, int tasks, double gpus) {
        submitService(follower(), id, team, tasks, gpus);
    }

    /** Submits a service of tasks with one CPU each to a controller, which has to accept it. */
    final void submitService(int controller, String id, String team, int tasks, double gpus) {
        ObjectNode job = SimulatedCluster.job(id, team, "service", tasks, 1, gpus);
        assertEquals(201, cluster.submit(controller, job, FOREVER));
    }

    /** Partitions a zone and one controller from everything else. */
    final void partitionZone(String zone, int controllerInside) {
        Set<String> hosts = new HashSet<>();
        for (SimWorker worker : cluster.cloud().machines().values()) {
            if (worker.zone().equals(zone)) {
                hosts.add(worker.name());
                hosts.add(worker.address());
            }
        }
        hosts.add("n-" + controllerInside);
        hosts.add("10.0.0." + controllerInside + ":8080");
        cluster.partitionPeers(controllerInside, true);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                crosses(hosts, from, request) ? Delivery.DROP : Delivery.DELIVER);
        // Watches that were open before get no response either.
        cluster.network()
                .delayResponses(
                        (from, request) -> crosses(hosts, from, request) ? LOST_SECONDS : 0);
    }

    private static boolean crosses(Set<String> hosts, String from, Request request) {
        return hosts.contains(from) != hosts.contains(request.address());
    }

    /** Ends the partition of a zone and of the controller in it. */
    final void healZone(int controllerInside) {
        deliverAllMessages();
        cluster.partitionPeers(controllerInside, false);
    }

    /** Delivers every message, and adds those that match to the returned list as they are sent. */
    final List<Request> recordDelivered(Predicate<Request> kind) {
        List<Request> delivered = new ArrayList<>();
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            if (kind.test(request)) {
                                delivered.add(request);
                            }
                            return Delivery.DELIVER;
                        });
        return delivered;
    }

    /** From now on the network delivers every message. */
    final void deliverAllMessages() {
        cluster.network().setDeliveryRule((from, request) -> Delivery.DELIVER);
        cluster.network().delayResponses((from, request) -> 0);
    }

    final void assertEachTaskStartedOnce(String job, int tasks) {
        for (int i = 0; i < tasks; i++) {
            assertEquals(1, cluster.starts(job + "/" + i), "task " + i);
        }
    }
}
