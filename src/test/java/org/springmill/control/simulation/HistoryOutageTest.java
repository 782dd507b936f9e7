package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Moves of records while the key-value store fails, is slow or lowers its limits. */
class HistoryOutageTest extends HistoryFixture {
    private static final int JOBS = 8;

    private void endJobs() {
        for (int number = 1; number <= JOBS; number++) {
            submit(number % CONTROLLERS, 1, job(number, 1));
        }
        cluster.run(15);
    }

    private void assertAllMovedAndAnswered() {
        for (int number = 1; number <= JOBS; number++) {
            assertMoved(number);
            assertPhaseEverywhere("done", number);
            assertEachTaskStartedOnce(id(number), 1);
        }
    }

    @Test
    void movesContinueAfterAnOutage() {
        endJobs();
        cluster.run(RETENTION_SECONDS - 15);
        cluster.keyValueStore().setDown(true);
        cluster.run(60);
        cluster.keyValueStore().setDown(false);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertAllMovedAndAnswered();
    }

    @Test
    void movesContinueWhenTheLeaderAloneIsRefused() {
        endJobs();
        cluster.run(RETENTION_SECONDS - 15);
        int refused = cluster.leader();
        cluster.keyValueStore().refuseController(refused, true);
        cluster.run(3 * UNTIL_MOVED_SECONDS);
        assertTrue(cluster.leader() != refused);
        assertAllMovedOnce();
        cluster.keyValueStore().refuseController(refused, false);
        cluster.run(20);
        assertAllMovedAndAnswered();
    }

    private void assertAllMovedOnce() {
        assertEquals(JOBS, cluster.keyValueStore().keysUnder("ended/").size());
        assertEquals(0, cluster.keyValueStore().keysUnder("job/").size());
    }

    /** During the moves, half of the commits get no response and are applied seconds later. */
    @Test
    void movesCarriedOutLateLoseNothing() {
        endJobs();
        cluster.keyValueStore().delayCommits(0.5);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        cluster.endFailures().run(2 * UNTIL_MOVED_SECONDS);
        assertAllMovedOnce();
        assertAllMovedAndAnswered();
    }

    /** A slow key-value store delays moves, but not leadership and acceptance. */
    @Test
    void aSlowStateServiceDelaysNeitherLeadershipNorAcceptance() {
        endJobs();
        cluster.network()
                .delayResponses(
                        (from, request) -> MessageMatchers.toKeyValueStore(request) ? 0.3 : 0);
        int leader = cluster.leader();
        for (int number = 101; number <= 110; number++) {
            submit(number % CONTROLLERS, 1, job(number, 1));
            cluster.run(4);
        }
        assertEquals(leader, cluster.leader());
        cluster.run(4 * UNTIL_MOVED_SECONDS);
        assertAllMovedAndAnswered();
    }

    /** The key-value store lowers its limits on transactions while the controllers run. */
    @Test
    void movesKeepToLowerLimits() {
        endJobs();
        cluster.keyValueStore().setSizeLimits(2048, 2);
        cluster.run(4 * UNTIL_MOVED_SECONDS);
        assertAllMovedAndAnswered();
    }
}
