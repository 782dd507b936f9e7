package org.springmill.control.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.Priority;

/** Tests the expected wait, given the waiting and started tasks. */
class QueueWaitsTest {
    private static final double MAX_WAIT_SECONDS = 400;
    private static final double WINDOW_SECONDS = MAX_WAIT_SECONDS * QueueWaits.WINDOW_SHARE;
    private static final double TOLERANCE_SECONDS = 1e-6;

    private final QueueWaits waits = new QueueWaits(MAX_WAIT_SECONDS);
    private double now = 1000;

    /** Simulates a whole window in steps of one second. */
    private List<CongestedQueue> afterWindow(int waitingTasks, int startsPerSecond) {
        List<CongestedQueue> congested = List.of();
        for (int second = 0; second <= WINDOW_SECONDS; second++) {
            now++;
            if (startsPerSecond > 0) {
                waits.tasksStarted("red", Priority.NORMAL, startsPerSecond, now);
            }
            congested = count(waitingTasks);
        }
        return congested;
    }

    private List<CongestedQueue> count(int waitingTasks) {
        waits.beginCount();
        if (waitingTasks > 0) {
            waits.addWaiting("red", Priority.NORMAL, waitingTasks);
        }
        return waits.endCount(now);
    }

    @ParameterizedTest
    @CsvSource({"760, 2, false", "840, 2, true", "4, 0, false", "5, 0, true", "0, 0, false"})
    void queueIsCongestedIfExpectedWaitExceedsMaximum(
            int waitingTasks, int startsPerSecond, boolean congested) {
        assertEquals(congested, !afterWindow(waitingTasks, startsPerSecond).isEmpty());
    }

    @Test
    void excessIsExpectedWaitAboveMaximum() {
        List<CongestedQueue> congested = afterWindow(1000, 2);
        CongestedQueue worst = congested.get(0);
        assertEquals(1000 / 2.0 - MAX_WAIT_SECONDS, worst.excessSeconds(), 15);
    }

    /** It is not known how fast a queue drains in which tasks have just started to wait. */
    @Test
    void noQueueIsCongestedBeforeTasksHaveWaitedForWindow() {
        for (int second = 0; second < WINDOW_SECONDS; second++) {
            now++;
            assertEquals(List.of(), count(100_000));
        }
        now++;
        assertFalse(count(100_000).isEmpty());
    }

    /** Tasks of lower priority do not delay those of higher priority. */
    @Test
    void lowerPriorityDoesNotCongestQueuesOfHigherPriority() {
        List<CongestedQueue> congested = afterWindow(100_000, 1);
        assertTrue(congested.stream().noneMatch(queue -> queue.priority() == Priority.HIGH));
        assertTrue(congested.stream().anyMatch(queue -> queue.priority() == Priority.LOW));
    }

    @Test
    void backlogOfOneTeamCongestsQueueOfAllTeamsButNotOfOtherTeam() {
        List<CongestedQueue> congested = afterWindow(100_000, 1);
        assertTrue(congested.stream().noneMatch(queue -> queue.team().equals("blue")));
        assertTrue(congested.stream().anyMatch(q -> q.team().equals(CongestedQueue.ALL_TEAMS)));
    }

    /** A notice holds a limited number of queues: those with the longest waits. */
    @Test
    void queuesWithLongestWaitsAreReportedIfThereAreTooMany() {
        int teams = CongestionNotice.MAX_QUEUES;
        for (int second = 0; second <= WINDOW_SECONDS; second++) {
            now++;
            waits.beginCount();
            IntStream.range(0, teams)
                    .forEach(i -> waits.addWaiting("team-" + i, Priority.NORMAL, 1000 + i));
            waits.endCount(now);
        }
        List<CongestedQueue> congested = waits.endCount(now);
        assertEquals(CongestionNotice.MAX_QUEUES, congested.size());
        for (int i = 1; i < congested.size(); i++) {
            double before = congested.get(i - 1).excessSeconds();
            assertTrue(before + TOLERANCE_SECONDS >= congested.get(i).excessSeconds());
        }
    }
}
