package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;

/**
 * Records of ended jobs are removed from the memory of all controllers, and their final states can
 * still be queried.
 */
class HistoryArchivingTest extends HistoryFixture {
    private static final int DONE = 1;
    private static final int CANCELLED = 2;

    @Test
    void movedJobsAreAnsweredByEveryControllerAndHeldByNone() {
        runToEnd(DONE);
        cancelAndMove(job(CANCELLED, 2), CANCELLED);
        assertMoved(DONE);
        assertMoved(CANCELLED);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            assertEquals(0, gauge(controller, "jobs"));
            assertEquals(0, gauge(controller, "cancellations"));
        }
        assertPhaseEverywhere("done", DONE);
        assertPhaseEverywhere("cancelled", CANCELLED);
        assertResubmissionAnswered("done", job(DONE, 1));
        assertResubmissionAnswered("cancelled", job(CANCELLED, 2));
        assertEquals("done", cluster.cancel(0, id(DONE)));
        assertEquals("cancelled", cluster.cancel(0, id(CANCELLED)));
        assertEquals("404", cluster.phase(0, id(3)));
        assertEquals("404", cluster.cancel(0, id(3)));
        cluster.run(20);
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    @Test
    void aControllerThatStartsReadsNothingOfMovedJobs() {
        runAndMove(DONE);
        killControllers();
        restartControllers();
        cluster.run(20);
        assertEquals(0, gauge(0, "jobs"));
        assertEquals(0, gauge(0, "moved_jobs_in_memory"));
        assertResubmissionAnswered("done", job(DONE, 1));
        cluster.run(10);
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    @Test
    void aJobIsNotMovedWhileATaskOfItMayBeLeft() {
        submit(follower(), FOREVER, job(CANCELLED, 1));
        cluster.run(5);
        var machine = cluster.workerRunning(id(CANCELLED) + "/0");
        machine.setHung(true);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                request.path().startsWith("/rentals/delete")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        // While a controller is down and the cloud deletes no machine, there is no proof that
        // the task has ended.
        cluster.kill(follower());
        int asked = (cluster.leader() + 2) % CONTROLLERS;
        assertEquals("cancelled", cluster.cancel(asked, id(CANCELLED)));
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(CANCELLED);
        deliverAllMessages();
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(CANCELLED);
    }

    /** A peer message announces a cancellation long after the record was moved. */
    @Test
    void aCancellationAnnouncedAfterTheMoveIsNotKept() {
        submit(follower(), FOREVER, job(CANCELLED, 1));
        cluster.holdPeerMessages();
        assertEquals("cancelled", cluster.cancel(follower(), id(CANCELLED)));
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertMoved(CANCELLED);
        cluster.releasePeerMessages();
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(CANCELLED);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            assertEquals(0, gauge(controller, "cancellations"));
        }
    }

    /** A resubmission of a moved job gets its final state even if its team no longer exists. */
    @Test
    void aResubmissionThatWouldBeImpossibleNowGetsTheFinalState() {
        runAndMove(DONE);
        // After the restart no controller has the final state in memory.
        killControllers();
        restartControllers();
        cluster.run(20);
        assertResubmissionAnswered("done", job(DONE, 1).put("crew", "green"));
    }

    @ParameterizedTest
    @EnumSource(
            value = Delivery.class,
            names = {"LOSE_RESPONSE", "DROP", "HOLD", "REFUSE"})
    void resubmissionsDuringAFailedMoveNeverRunTheJobAgain(Delivery fate) {
        runToEnd(DONE);
        setFateOfMoves(fate);
        cluster.run(UNTIL_MOVED_SECONDS);
        assertResubmissionAnswered("done", job(DONE, 1));
        assertPhaseEverywhere("done", DONE);
        deliverAllMessages();
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(DONE);
        cluster.network().releaseHeld();
        cluster.run(5);
        assertMoved(DONE);
        assertResubmissionAnswered("done", job(DONE, 1));
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    /**
     * The transaction that creates the record is applied only after another controller accepted the
     * job, and the job has ended and was moved. Without its condition that there is no moved record
     * it would create the job again.
     */
    @Test
    void anAcceptanceCarriedOutAfterTheMoveIsRefused() {
        String created = "\"write\":\"job/" + id(DONE) + '"';
        int slow = follower();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                MessageMatchers.fromController(from, slow)
                                                && MessageMatchers.isCommit(request)
                                                && MessageMatchers.text(request).contains(created)
                                        ? Delivery.HOLD
                                        : Delivery.DELIVER);
        assertEquals(503, cluster.submit(slow, job(DONE, 1), 2));
        assertTrue(cluster.network().hasHeldRequests());
        assertEquals(201, cluster.submit(cluster.leader(), job(DONE, 1), 2));
        deliverAllMessages();
        cluster.run(10);
        waitUntilMoved(DONE);
        cluster.network().releaseHeld();
        cluster.run(20);
        assertMoved(DONE);
        assertPhaseEverywhere("done", DONE);
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    /** The move of the deposed leader arrives before or after that of its successor. */
    @ParameterizedTest
    @EnumSource(MoveOrder.class)
    void aDeposedLeadersMoveChangesNothing(MoveOrder order) {
        runToEnd(DONE);
        setFateOfMoves(Delivery.HOLD);
        int old = cluster.leader();
        cluster.run(UNTIL_MOVED_SECONDS);
        assertTrue(cluster.network().hasHeldRequests());
        cluster.kill(old);
        deliverAllMessages();
        // There is a new leader by now, which has not moved records yet.
        cluster.run(10);
        assertTrue(cluster.leader() != old);
        if (order == MoveOrder.LATE_FIRST) {
            cluster.network().releaseHeld();
            cluster.run(0.1);
            assertNotMoved(DONE);
        }
        cluster.restart(old);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertMoved(DONE);
        cluster.network().releaseHeld();
        cluster.run(5);
        assertMoved(DONE);
        assertPhaseEverywhere("done", DONE);
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    private enum MoveOrder {
        LATE_FIRST,
        LATE_LAST
    }

    /**
     * A controller that lags behind must not report a job as unknown that the others have reported
     * as known.
     */
    @Test
    void requestsAtALaggingControllerGetNoFinalAnswer() {
        int lagging = follower();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                MessageMatchers.fromController(from, lagging)
                                                && (request.path().startsWith("/changes?under=job/")
                                                        || isLookup(request))
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        submit(cluster.leader(), 2, job(DONE, 1));
        cluster.run(10);
        waitUntilMoved(DONE);
        assertEquals("503", cluster.phase(lagging, id(DONE)));
        assertEquals("503", cluster.cancel(lagging, id(DONE)));
        assertEquals(503, cluster.submit(lagging, job(DONE, 1), 2));
        cluster.endFailures().run(10);
        assertPhaseEverywhere("done", DONE);
    }

    /**
     * The controller missed more changes than the key-value store keeps, so it reads all records
     * again.
     */
    @Test
    void recordsMovedWhileAControllerMissedTooManyChangesAreRemovedThere() {
        runToEnd(DONE);
        int lagging = follower();
        dropJobChangesFor(lagging);
        waitUntilMoved(DONE);
        assertEquals(1, gauge(lagging, "jobs"));
        cluster.keyValueStore().dropWatchHistory();
        deliverAllMessages();
        cluster.run(30);
        assertEquals(0, gauge(lagging, "jobs"));
        assertPhaseEverywhere("done", DONE);
    }

    /** Memory depends on live and recently ended jobs only, not on the number of jobs so far. */
    @Test
    void memoryDoesNotGrowWithTheNumberOfJobsSoFar() {
        int most = 0;
        for (int number = 1; number <= 120; number++) {
            submit(number % CONTROLLERS, 0.5, job(number, 1));
            if (number % 4 == 0) {
                assertEquals("cancelled", cluster.cancel(0, submitToCancel(1000 + number)));
            }
            cluster.run(2);
            if (number % 20 == 0) {
                most = Math.max(most, (int) gauge(number % CONTROLLERS, "jobs"));
            }
        }
        // 1.25 jobs in 3 s, for the retention and the time until they are moved.
        assertTrue(most < 40, most + " jobs held");
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            assertEquals(0, gauge(controller, "jobs"));
            assertEquals(0, gauge(controller, "cancellations"));
        }
        assertEquals(150, cluster.keyValueStore().keysUnder("ended/").size());
        assertPhaseEverywhere("done", 1, 60, 119);
        assertPhaseEverywhere("cancelled", 1004, 1120);
    }

    private String submitToCancel(int number) {
        submit(1, FOREVER, job(number, 1));
        return id(number);
    }

    @Test
    void withoutTheSettingNothingIsMovedAndWhatWasMovedIsStillAnswered() {
        runAndMove(DONE);
        killControllers();
        cluster.setHistoryRetention(OptionalDouble.empty());
        restartControllers();
        cluster.run(20);
        runToEnd(3);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(3);
        assertPhaseEverywhere("done", DONE, 3);
        assertResubmissionAnswered("done", job(DONE, 1));
        assertEachTaskStartedOnce(id(DONE), 1);
    }

    @Test
    void anotherSeedOfTheClusterMovesAsWell() {
        startCluster(new SimulatedCluster(7, OptionalDouble.of(RETENTION_SECONDS)));
        cluster.run(20);
        runAndMove(DONE);
        assertPhaseEverywhere("done", DONE);
    }
}
