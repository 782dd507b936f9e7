package org.springmill.control.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Jobs that have ended, ordered by the time from which their records may be archived. The queue
 * contains each job at most once.
 */
final class RetentionQueue {
    private final PriorityQueue<DueJob> dueJobs =
            new PriorityQueue<>(
                    Comparator.comparingDouble(DueJob::at).thenComparingLong(DueJob::order));
    private final Set<String> queuedIds = new HashSet<>();
    private long nextOrder;

    /**
     * A job and the time from which it may be archived.
     *
     * @param order sequence number; of jobs with the same time, the first one added comes first
     */
    private record DueJob(String id, double at, long order) {}

    /** Adds a job unless it is already queued. */
    void add(String id, double at) {
        if (queuedIds.add(id)) {
            dueJobs.add(new DueJob(id, at, nextOrder++));
        }
    }

    /** Removes and returns jobs that are due, the earliest first. */
    List<String> pollDue(double now, int maxJobs) {
        List<String> taken = new ArrayList<>();
        while (taken.size() < maxJobs && !dueJobs.isEmpty() && dueJobs.peek().at() <= now) {
            String id = dueJobs.poll().id();
            queuedIds.remove(id);
            taken.add(id);
        }
        return taken;
    }

    int size() {
        return dueJobs.size();
    }
}
