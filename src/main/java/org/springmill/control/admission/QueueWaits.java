package org.springmill.control.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.Priority;

/**
 * Estimates how long a job that is submitted now would wait for its first task to start, from the
 * tasks ahead of it and the recent task starts. Used by the leader. A job waits behind the tasks of
 * its own team and of all teams that have at least its priority.
 *
 * <p>A queue is reported as congested only after tasks have waited in it for a whole window: before
 * that, also after a failover, it is not known how fast the queue drains.
 */
public final class QueueWaits {
    /** Ratio of the window in which starts are counted to the longest accepted wait. */
    static final double WINDOW_SHARE = 0.25;

    /** Number of slices into which the window is divided. */
    private static final int SLICES = 50;

    private final double maxWaitSeconds;
    private final double windowSeconds;
    private final double sliceSeconds;
    private final Map<Queue, StartCounter> starts = new HashMap<>();
    private final Map<Queue, Integer> waitingTasks = new HashMap<>();
    private final Map<Queue, Double> waitingSince = new HashMap<>();

    /** The waiting tasks of one team, or of all teams, with at least this priority. */
    private record Queue(String team, Priority priority) {}

    /** Counts the starts in a sliding window with a resolution of one slice. */
    private final class StartCounter {
        private final Deque<Slice> slices = new ArrayDeque<>();
        private int total;

        void add(int count, double now) {
            if (slices.isEmpty() || slices.peekLast().from + sliceSeconds <= now) {
                slices.add(new Slice(now));
            }
            slices.peekLast().count += count;
            total += count;
        }

        int inWindow(double now) {
            while (!slices.isEmpty() && slices.peek().from <= now - windowSeconds - sliceSeconds) {
                total -= slices.poll().count;
            }
            return total;
        }
    }

    private static final class Slice {
        private final double from;
        private int count;

        Slice(double from) {
            this.from = from;
        }
    }

    /**
     * Creates an estimator without recorded tasks.
     *
     * @param maxWaitSeconds the longest expected wait at which jobs are accepted
     */
    public QueueWaits(double maxWaitSeconds) {
        this.maxWaitSeconds = maxWaitSeconds;
        windowSeconds = maxWaitSeconds * WINDOW_SHARE;
        sliceSeconds = windowSeconds / SLICES;
    }

    /** Records that tasks of a team were placed. */
    public void tasksStarted(String team, Priority priority, int tasks, double now) {
        for (Queue queue : queuesOf(team, priority)) {
            starts.computeIfAbsent(queue, q -> new StartCounter()).add(tasks, now);
        }
    }

    /** Starts a new count of the waiting tasks. */
    public void beginCount() {
        waitingTasks.clear();
    }

    /** Counts waiting tasks of one job. */
    public void addWaiting(String team, Priority priority, int tasks) {
        for (Queue queue : queuesOf(team, priority)) {
            waitingTasks.merge(queue, tasks, Integer::sum);
        }
    }

    /** Ends the count and returns the queues whose expected wait is too long, the longest first. */
    public List<CongestedQueue> endCount(double now) {
        waitingSince.keySet().retainAll(waitingTasks.keySet());
        starts.values().removeIf(counter -> counter.inWindow(now) == 0);
        List<CongestedQueue> congested = new ArrayList<>();
        for (Map.Entry<Queue, Integer> entry : waitingTasks.entrySet()) {
            Queue queue = entry.getKey();
            double since = waitingSince.computeIfAbsent(queue, q -> now);
            double excess = expectedSeconds(queue, entry.getValue(), now) - maxWaitSeconds;
            if (now - since >= windowSeconds && excess > 0) {
                congested.add(new CongestedQueue(queue.team(), queue.priority(), excess));
            }
        }
        congested.sort(Comparator.comparingDouble(CongestedQueue::excessSeconds).reversed());
        return congested.subList(0, Math.min(CongestionNotice.MAX_QUEUES, congested.size()));
    }

    private double expectedSeconds(Queue queue, int tasks, double now) {
        StartCounter counter = starts.get(queue);
        // A window without starts counts as one start, since one may be about to happen.
        double startsInWindow = Math.max(1, counter == null ? 0 : counter.inWindow(now));
        return tasks / startsInWindow * windowSeconds;
    }

    /** The queues to which tasks of a team and priority belong. */
    private static Set<Queue> queuesOf(String team, Priority priority) {
        Set<Queue> queues = new HashSet<>();
        for (Priority queuePriority : Priority.values()) {
            if (!queuePriority.isAbove(priority)) {
                queues.add(new Queue(team, queuePriority));
                queues.add(new Queue(CongestedQueue.ALL_TEAMS, queuePriority));
            }
        }
        return queues;
    }
}
