package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/**
 * Controllers without the history, like every earlier version. Such a controller would accept a job
 * again whose record has been moved, so no record may be moved while one is part of the cluster.
 */
class HistoryRolloutTest extends HistoryFixture {
    private static final int JOB_NUMBER = 1;

    private void restartWithout(int controller) {
        cluster.setHistoryRetention(OptionalDouble.empty());
        cluster.restart(controller);
        cluster.run(20);
    }

    private void restartWith(int controller) {
        cluster.setHistoryRetention(OptionalDouble.of(RETENTION_SECONDS));
        cluster.restart(controller);
        cluster.run(20);
    }

    @Test
    void nothingIsMovedBeforeEveryControllerWasStartedWithTheHistory() {
        startCluster(1);
        cluster.setHistoryRetention(OptionalDouble.of(RETENTION_SECONDS));
        runToEnd(JOB_NUMBER);
        for (int controller = 0; controller < CONTROLLERS - 1; controller++) {
            restartWith(controller);
            cluster.run(UNTIL_MOVED_SECONDS);
            assertNotMoved(JOB_NUMBER);
        }
        // A controller that is down counts as well, since it may restart without the history.
        cluster.kill(CONTROLLERS - 1);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(JOB_NUMBER);
        restartWith(CONTROLLERS - 1);
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(JOB_NUMBER);
    }

    @Test
    void movesStopWhileAControllerIsBackWithoutTheHistory() {
        int other = follower();
        restartWithout(other);
        runToEnd(JOB_NUMBER);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(JOB_NUMBER);
        restartWith(other);
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(JOB_NUMBER);
    }

    @Test
    void aLeaderWithoutTheHistoryMovesNothingAndAnswersForWhatWasMoved() {
        runAndMove(JOB_NUMBER);
        int old = cluster.leader();
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            if (controller != old) {
                restartWithout(controller);
            }
        }
        cluster.kill(old);
        cluster.run(25);
        restartWith(old);
        runToEnd(2);
        cluster.run(2 * UNTIL_MOVED_SECONDS);
        assertNotMoved(2);
        assertResubmissionAnswered("done", job(JOB_NUMBER, 1));
        assertEachTaskStartedOnce(id(JOB_NUMBER), 1);
    }

    /** A controller that is down does not prevent moves if its last start was with the history. */
    @Test
    void aDeadControllerThatTookPartDoesNotStopTheMoves() {
        cluster.kill(follower());
        submit(cluster.leader(), 2, job(JOB_NUMBER, 1));
        cluster.run(10);
        waitUntilMoved(JOB_NUMBER);
        assertEquals("done", cluster.phase(cluster.leader(), id(JOB_NUMBER)));
    }
}
