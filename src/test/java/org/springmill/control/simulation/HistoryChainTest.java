package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;

/** Chains of dependent jobs, some of which have been moved to the history. */
class HistoryChainTest extends HistoryFixture {
    private static final int FIRST = 1;
    private static final int DEPENDENT = 2;
    private static final int LAST = 3;

    @Test
    void aSubmissionMayNameAJobThatHasLeftMemory() {
        runAndMove(FIRST);
        submit(follower(), 2, job(DEPENDENT, 1, FIRST));
        runUntilDone(DEPENDENT);
        assertPhaseEverywhere("done", DEPENDENT);
    }

    @Test
    void aSubmissionThatNamesAMovedCancelledJobIsCancelledAtOnce() {
        cancelAndMove(job(FIRST, 1), FIRST);
        var reply =
                cluster.ask(
                        follower(), "POST", "/submissions", job(DEPENDENT, 1, FIRST).toString());
        assertEquals(201, reply.status());
        assertTrue(bodyOf(reply).contains("cancelled"), bodyOf(reply));
        assertPhaseEverywhere("cancelled", DEPENDENT);
        cluster.run(10);
        assertEquals(0, cluster.starts(id(DEPENDENT) + "/0"));
    }

    @Test
    void aSubmissionThatNamesAMovedServiceOrAnUnknownJobIsRefused() {
        cancelAndMove(service(FIRST, 1), FIRST);
        assertEquals(422, cluster.submit(follower(), job(DEPENDENT, 1, FIRST), 1));
        assertEquals(422, cluster.submit(follower(), job(DEPENDENT, 1, 77), 1));
    }

    /**
     * The record of a finished job is not moved while a dependent job still waits on other jobs.
     */
    @Test
    void aJobThatAnotherWaitsOnIsNotMoved() {
        submit(follower(), FOREVER, job(LAST, 1));
        runToEnd(FIRST);
        submit(follower(), 2, job(DEPENDENT, 1, FIRST, LAST));
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(FIRST);
        assertEquals("cancelled", cluster.cancel(0, id(LAST)));
        cluster.run(3 * UNTIL_MOVED_SECONDS);
        assertMoved(FIRST);
        assertMoved(DEPENDENT);
        assertMoved(LAST);
        assertPhaseEverywhere("done", FIRST);
        assertPhaseEverywhere("cancelled", DEPENDENT, LAST);
    }

    /**
     * A lagging controller may accept a job while the leader moves the record of its dependency.
     * The test writes the records of such jobs to the key-value store itself.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aDependentReadAfterItsDependencyWasMovedIsRunOrCancelled(boolean cancelled) {
        if (cancelled) {
            cancelAndMove(job(FIRST, 1), FIRST);
        } else {
            runAndMove(FIRST);
        }
        dropFinalStatesFromMemory();
        store("job/" + id(DEPENDENT), jobRecord(DEPENDENT, ",\"accepted\":1.0E9", FIRST));
        store("job/" + id(LAST), jobRecord(LAST, ",\"accepted\":1.0E9", DEPENDENT));
        cluster.registerStoredJob(job(DEPENDENT, 2, FIRST));
        cluster.registerStoredJob(job(LAST, 2, DEPENDENT));
        cluster.run(UNTIL_MOVED_SECONDS);
        assertPhaseEverywhere(cancelled ? "cancelled" : "done", DEPENDENT, LAST);
        assertEquals(cancelled ? 0 : 1, cluster.starts(id(DEPENDENT) + "/0"));
    }

    /**
     * A job is not run, and queries for it get 503, until the final state of its dependency has
     * been read.
     */
    @Test
    void aDependentWhoseDependencyCannotBeReadIsNeitherRunNorAnswered() {
        cancelAndMove(job(FIRST, 1), FIRST);
        dropFinalStatesFromMemory();
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> isLookup(request) ? Delivery.DROP : Delivery.DELIVER);
        store("job/" + id(DEPENDENT), jobRecord(DEPENDENT, ",\"accepted\":1.0E9", FIRST));
        store("job/" + id(LAST), jobRecord(LAST, ",\"accepted\":1.0E9", DEPENDENT));
        cluster.registerStoredJob(job(DEPENDENT, 2, FIRST));
        cluster.registerStoredJob(job(LAST, 2, DEPENDENT));
        cluster.run(10);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            assertEquals("503", cluster.phase(controller, id(DEPENDENT)));
            assertEquals("503", cluster.phase(controller, id(LAST)));
        }
        assertEquals(0, cluster.starts(id(DEPENDENT) + "/0"));
        deliverAllMessages();
        cluster.run(10);
        assertPhaseEverywhere("cancelled", DEPENDENT, LAST);
        cluster.run(3 * UNTIL_MOVED_SECONDS);
        assertMoved(DEPENDENT);
        assertMoved(LAST);
    }

    /** Restarts all controllers, so that none has the final state of a moved job in memory. */
    private void dropFinalStatesFromMemory() {
        killControllers();
        restartControllers();
        cluster.run(20);
    }
}
