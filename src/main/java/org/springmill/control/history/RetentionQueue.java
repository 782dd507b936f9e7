package org.springmill.control.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Jobs that have ended, by the time at which their records may be moved. Each is in it once; one
 * that cannot be moved when its time has come is put back for later.
 */
final class RetentionQueue {
    private final PriorityQueue<DueJob> dueJobs =
            new PriorityQueue<>(
                    Comparator.comparingDouble(DueJob::at).thenComparingLong(DueJob::order));
    private final Set<String> queuedIds = new HashSet<>();
    private long nextOrder;

    /** Of several with the same time the one added first comes first. */
    private record DueJob(String id, double at, long order) {}

    /** Adds a job unless it is there already. */
    void add(String id, double at) {
        if (queuedIds.add(id)) {
            dueJobs.add(new DueJob(id, at, nextOrder++));
        }
    }

    /** Takes out jobs whose time has come, the earliest first. */
    List<String> pollDue(double now, int most) {
        List<String> taken = new ArrayList<>();
        while (taken.size() < most && !dueJobs.isEmpty() && dueJobs.peek().at() <= now) {
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
