package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.isStartCommand;
import static org.springmill.control.simulation.MessageMatchers.text;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Controller processes are paused while their clocks continue. The leader's lease is 2.8 s, a
 * worker's 14 s. A resumed process finds all messages queued that were sent to it during the pause.
 */
class ControllerPauseTest extends ClusterFixture {
    private static final int TASKS = 6;
    private static final double LEASE_SECONDS = 14;

    @BeforeEach
    void start() {
        startCluster(31);
        cluster.startPolling();
        acceptService(JOB, "blue", TASKS, 1);
        cluster.run(10);
        assertEquals(TASKS, cluster.running(JOB));
    }

    /** Pauses of the leader that are shorter and longer than each lease and timeout. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 1.5, 2, 2.7, 2.9, 4, 5.7, 8, 13, 16, 30})
    void pausedLeaderLosesNoTaskAndStartsNoneTwice(double seconds) {
        int leader = cluster.leader();
        cluster.pauseProcess(leader, seconds);
        cluster.submit((leader + 1) % CONTROLLERS, array(OTHER), 3);
        cluster.run(seconds + 25);

        assertEquals(TASKS, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, TASKS);
        assertEquals("done", cluster.phase(leader, OTHER));
        assertEquals("done", cluster.phase((leader + 1) % CONTROLLERS, OTHER));
    }

    /** All controllers are paused at the same time. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 2, 4, 8, 12})
    void pausesOfAllControllersShorterThanAWorkerLeaseLoseNoTask(double seconds) {
        for (int i = 0; i < CONTROLLERS; i++) {
            cluster.pauseProcess(i, seconds);
        }
        cluster.run(seconds + LEASE_SECONDS);
        assertEquals(TASKS, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, TASKS);
    }

    /** Two pauses close together, the second during the recovery from the first. */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.3, 0.7, 1.5, 3})
    void leaderPausedAgainDuringRecoveryLosesNoTask(double secondsBetweenPauses) {
        int leader = cluster.leader();
        cluster.pauseProcess(leader, 4);
        cluster.run(4 + secondsBetweenPauses);
        cluster.pauseProcess(leader, 3);
        cluster.run(40);
        assertEquals(TASKS, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, TASKS);
    }

    /**
     * Guards against an answer based on a read from before the pause: the read was sent for the
     * query, and its response waited until the controller resumed, while another controller
     * answered that the job is cancelled.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.002, 0.004, 0.006, 0.008, 0.01, 0.012, 0.015, 0.02})
    void queryQueuedDuringAPauseIsNotAnsweredFromAnEarlierRead(double seconds) {
        int follower = follower();
        List<String> answers = new ArrayList<>();
        cluster.sendAsUser(
                follower,
                "GET",
                "/submissions/" + JOB,
                "",
                FOREVER,
                reply -> answers.add(new String(reply.body(), StandardCharsets.UTF_8)));
        cluster.run(seconds);
        cluster.pauseProcess(follower, 6);
        cluster.run(1);
        boolean answeredBefore = !answers.isEmpty();
        assertEquals("cancelled", cluster.cancel(cluster.leader(), JOB));
        cluster.run(10);
        assertEquals(1, answers.size());
        if (answeredBefore) {
            return;
        }
        assertTrue(answers.get(0).contains("cancelled"), answers.get(0));
    }

    /** Guards against a leader that acts after a pause on a lease that it has not renewed yet. */
    @Test
    void reportsQueuedDuringAPauseRenewNoLeaseBeforeTheLeaderRenewsItsOwn() {
        int leader = cluster.leader();
        cluster.network().partitionFromStore("n-" + leader);
        List<Integer> statuses = new ArrayList<>();
        cluster.pauseProcess(leader, 2.5);
        String report =
                "{\"stone\":\"host-000099\",\"addr\":\"10.1.0.99:9000\","
                        + "\"frame\":\"large\",\"yard\":\"a\",\"loaner\":false,\"shift\":1,"
                        + "\"tally\":1,\"baton\":1,\"warningS\":null,\"sacks\":[]}";
        cluster.sendAsUser(
                leader,
                "POST",
                "/v1/report",
                report,
                FOREVER,
                (Reply reply) -> statuses.add(reply.status()));
        cluster.run(2.6);
        assertEquals(1, statuses.size());
        assertNotEquals(200, statuses.get(0));
        cluster.endFailures();
        cluster.run(LEASE_SECONDS);
        assertEquals(TASKS, cluster.running(JOB));
    }

    /** Guards against a start that is sent on a lease which has not been renewed since a pause. */
    @Test
    void startClaimedBeforeAPauseIsNotSentBeforeTheLeaderRenewsItsLease() {
        int leader = cluster.leader();
        List<String> startsAfterPause = new ArrayList<>();
        boolean[] paused = new boolean[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean ofLeader = fromController(from, leader);
                            if (!paused[0] && ofLeader && isClaimOf(OTHER, request)) {
                                paused[0] = true;
                                cluster.pauseProcess(leader, 2);
                                cluster.network().partitionFromStore(from);
                            } else if (paused[0] && ofLeader && isStartCommand(request)) {
                                startsAfterPause.add(text(request));
                            }
                            return Delivery.DELIVER;
                        });
        accept(array(OTHER), 3);
        cluster.run(2.5);
        assertTrue(paused[0]);
        assertEquals(List.of(), startsAfterPause);
        cluster.endFailures();
        cluster.run(LEASE_SECONDS);
        assertEquals(TASKS, cluster.running(JOB));
        assertEquals("done", cluster.phase(leader, OTHER));
    }

    private static boolean isClaimOf(String job, Request request) {
        return isCommit(request) && text(request).contains("round/") && text(request).contains(job);
    }

    /** The leader is paused during an outage of the key-value store. */
    @ParameterizedTest
    @ValueSource(doubles = {2, 5, 9})
    void leaderPausedInAnOutageOfTheStateServiceLosesNoTask(double seconds) {
        int leader = cluster.leader();
        cluster.keyValueStore().setDown(true);
        cluster.run(3);
        cluster.pauseProcess(leader, seconds);
        cluster.run(seconds + 5);
        cluster.keyValueStore().setDown(false);
        cluster.endFailures();
        cluster.run(25);
        assertEquals(TASKS, cluster.running(JOB));
        assertEachTaskStartedOnce(JOB, TASKS);
    }

    private static ObjectNode array(String id) {
        return SimulatedCluster.job(id, "red", "sweep", 4, 1, 1);
    }
}
