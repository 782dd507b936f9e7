package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.text;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;

/**
 * Cancelling a job also cancels all jobs that depend on it, whichever component fails meanwhile.
 */
class JobChainCancellationTest extends JobChainFixture {
    /**
     * @param failure what restarts or fails just after the answer to the user
     */
    @ParameterizedTest
    @ValueSource(strings = {"nobody", "leader", "all", "outage"})
    void cancellingAJobCancelsAllItsDependentsAndNoOtherJob(String failure) {
        submit(0, 3, job(1, 1));
        submit(0, 60, job(2, 1, 1));
        submit(1, 3, job(3, 2, 1));
        submit(1, 1, job(4, 1, 2, 3));
        submit(2, 1, job(5, 1, 4));
        submit(2, 1, job(6, 1, 3));
        cluster.run(10);
        assertEquals("cancelled", cluster.cancel(follower(), id(2)));
        if (failure.equals("leader") || failure.equals("all")) {
            for (int node = 0; node < 3; node++) {
                if (node == cluster.leader() || failure.equals("all")) {
                    cluster.restart(node);
                }
            }
            cluster.run(3);
        } else if (failure.equals("outage")) {
            cluster.keyValueStore().setDown(true);
            cluster.run(10);
            cluster.keyValueStore().setDown(false);
            cluster.run(1);
        }
        assertPhaseEverywhere("cancelled", 2, 4, 5);
        // A job that names a cancelled job as its dependency is still accepted.
        submit(1, 1, job(7, 1, 5));
        assertPhaseEverywhere("cancelled", 7);
        assertEquals(200, cluster.submit(0, job(5, 1, 4), 1));
        assertEquals("cancelled", cluster.cancel(0, id(5)));
        cluster.run(30);
        assertPhaseEverywhere("done", 1, 3, 6);
        assertPhaseEverywhere("cancelled", 2, 4, 5, 7);
        assertEquals(
                "cancelled", cluster.keyValueStore().value("job/" + id(7)).path("end").asText());
        assertEquals(
                id(5),
                cluster.keyValueStore()
                        .value("job/" + id(7))
                        .path("job")
                        .path("waitsOn")
                        .path(0)
                        .asText());
        assertEquals("done", cluster.cancel(1, id(1)));
        assertPhaseEverywhere("done", 3);
    }

    @Test
    void manyCancelledDependentsAreReportedImmediatelyAndStoredAtALimitedRate() {
        submit(0, 1e9, job(1, 1));
        for (int i = 2; i < 60; i++) {
            submit(i % 3, 1, job(i, 1, i % 4 == 0 ? 1 : i - 1));
        }
        assertEquals("cancelled", cluster.cancel(0, id(1)));
        assertPhaseEverywhere("cancelled", 2, 31, 59);
        long before = storedEnds();
        cluster.run(10);
        // The limit is a tenth of the 20 writes per second that the key-value store takes, in
        // batches of half a transaction.
        assertTrue(
                storedEnds() - before <= 0.1 * 20 * 10 + 6,
                storedEnds() + " stored ends, before " + before);
        cluster.run(30);
        assertEquals(59, storedEnds());
    }

    /**
     * A job of the chain is cancelled through another controller while the leader is connected to
     * workers and users only.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dependentsAreCancelledWhileTheLeaderIsIsolated(boolean dependencyRunning) {
        submit(0, dependencyRunning ? 1e9 : 20, job(1, 2));
        submit(1, 1e9, job(2, 2, 1));
        submit(2, 1, job(3, 2, 2));
        cluster.run(8);
        int isolated = cluster.leader();
        cluster.isolate(isolated);
        cluster.run(dependencyRunning ? 1 : 25);
        int other = (isolated + 1) % 3;
        assertEquals("cancelled", cluster.cancel(other, id(dependencyRunning ? 1 : 2)));
        cluster.startPolling().run(60);
        assertEquals("cancelled", cluster.phase(other, id(3)));
        // The isolated leader must report the cancellation or answer 503, never an outdated phase.
        String phase = cluster.phase(isolated, id(3));
        assertTrue(phase.equals("503") || phase.equals("cancelled"), phase);
        cluster.endFailures().run(30);
        assertPhaseEverywhere("cancelled", 2, 3);
    }

    /**
     * While the key-value store refuses only the leader, a job is cancelled through another
     * controller; then the key-value store is down for all controllers for 50 s.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dependentsAreCancelledIfTheStoreRefusesTheLeaderBeforeALongOutage(
            boolean confirmerCrashes) {
        submit(0, 1e9, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        submit(2, 1, job(3, 2, 2));
        cluster.run(8);
        int leader = cluster.leader();
        cluster.keyValueStore().refuseController(leader, true);
        cluster.run(1);
        int confirmer = (leader + 1) % 3;
        assertEquals("cancelled", cluster.cancel(confirmer, id(1)));
        cluster.keyValueStore().setDown(true);
        cluster.run(5);
        if (confirmerCrashes) {
            cluster.restart(confirmer);
        }
        cluster.run(45);
        assertEquals(0, cluster.running(id(1)));
        for (int node = 0; node < 3; node++) {
            String phase = cluster.phase(node, id(3));
            assertTrue(phase.equals("503") || phase.equals("cancelled"), phase + " at " + node);
        }
        cluster.keyValueStore().refuseController(leader, false);
        cluster.keyValueStore().setDown(false);
        cluster.run(20);
        assertPhaseEverywhere("cancelled", 1, 2, 3);
        assertEquals(0, cluster.starts(id(2) + "/0"));
    }

    /**
     * The cancelled job has both a long chain of dependents and many dependents at one level. All
     * controllers crash just after a commit of the cancellation is sent: the one for the job itself
     * or a later one for its dependents.
     */
    @ParameterizedTest
    @CsvSource({
        "DELIVER, 0",
        "DROP, 0",
        "LOSE_RESPONSE, 0",
        "HOLD, 0",
        "DELIVER, 1",
        "DROP, 1",
        "LOSE_RESPONSE, 1",
        "HOLD, 1",
        "DELIVER, 2",
        "HOLD, 2",
        "DELIVER, 3",
        "LOSE_RESPONSE, 3"
    })
    void dependentsStayCancelledWhenAllControllersCrashDuringTheCommits(
            Delivery fate, int commitIndex) {
        submit(0, 2, job(1, 1));
        submit(1, 1e9, job(2, 2, 1));
        for (int i = 3; i <= 8; i++) {
            submit(i % 3, 1, job(i, 1, i - 1));
        }
        for (int i = 9; i <= 20; i++) {
            submit(i % 3, 1, job(i, 1, 3));
        }
        cluster.run(6);
        assertPhaseEverywhere("running", 2);
        int[] commitsSeen = new int[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean hit =
                                    isCommit(request)
                                            && text(request).contains("\"end\":\"cancelled\"")
                                            && commitsSeen[0]++ == commitIndex;
                            if (hit) {
                                cluster.clock().after(0.003, this::killControllers);
                            }
                            return hit ? fate : Delivery.DELIVER;
                        });
        String answer = cluster.cancel(follower(), id(2));
        cluster.run(20);
        assertTrue(
                commitsSeen[0] > commitIndex,
                "only " + commitsSeen[0] + " commits of cancellations");
        restartControllers();
        cluster.run(4);
        for (int i = 0; i < 10 && !answer.equals("cancelled"); i++) {
            answer = cluster.cancel(i % 3, id(2));
            cluster.run(1);
        }
        assertPhaseEverywhere("cancelled", 2, 3, 8, 9, 20);
        cluster.network().releaseHeld();
        cluster.run(50);
        assertPhaseEverywhere("done", 1);
        assertPhaseEverywhere("cancelled", 2, 3, 4, 5, 6, 7, 8, 9, 20);
        assertEquals(0, cluster.running(id(2)));
        assertEquals(20, storedEnds());
    }

    /** A job is cancelled at or shortly after the end of its last task. */
    @ParameterizedTest
    @CsvSource({
        "DELIVER, 0",
        "DELIVER, 0.004",
        "DELIVER, 0.008",
        "DELIVER, 0.5",
        "HOLD, 0",
        "HOLD, 0.5",
        "DROP, 0.05",
        "LOSE_RESPONSE, 0.004",
        "LOSE_RESPONSE, 0.05"
    })
    void aDependentFollowsWhicheverOfDoneAndCancelledIsCommittedFirst(
            Delivery fate, double delaySeconds) {
        submit(0, 4, job(1, 2));
        submit(1, 1, job(2, 1, 1));
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                isCommit(request) && text(request).contains("\"end\":\"done\"")
                                        ? fate
                                        : Delivery.DELIVER);
        cluster.run(4);
        assertEquals(2, cluster.running(id(1)));
        while (cluster.running(id(1)) > 0) {
            cluster.run(0.001);
        }
        cluster.run(delaySeconds);
        String answer = cluster.cancel(follower(), id(1));
        assertTrue(answer.equals("cancelled") || answer.equals("done"), answer);
        deliverAllMessages();
        cluster.network().releaseHeld();
        cluster.run(15);
        assertPhaseEverywhere(answer, 1, 2);
        assertEquals(answer.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }
}
