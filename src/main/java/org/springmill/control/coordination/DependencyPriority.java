package org.springmill.control.coordination;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Priority;

/**
 * Priority and deadline flow from jobs to those that they need: whoever sets them does so on the
 * last job of a chain. A job has the highest priority of its own and all that need it, and has to
 * start by the time that leaves the rest of its chain its estimated run before the chain's
 * deadline. Both are derived, never stored, and are no more than an order: owners' estimates are
 * often wrong, and no rule hangs on them.
 *
 * <p>Kept up as jobs come and end. A job is looked at again when one that needs it has changed; the
 * latest accepted comes first, and since a job can only need earlier ones each is looked at once
 * for a change. The work of one call is bounded; what is left over waits for the next.
 */
final class DependencyPriority {
    /** Jobs looked at in one call, those that need them included. */
    private static final int MOST_STEPS = 5_000;

    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final PriorityQueue<Job> stale =
            new PriorityQueue<>(Comparator.comparingLong(Job::accepted).reversed());
    private final Set<String> queued = new HashSet<>();

    DependencyPriority(JobDirectory directory, ClusterState clusterState) {
        this.directory = directory;
        this.clusterState = clusterState;
    }

    /** A job has come or ended. */
    void changed(Job job) {
        if (job.active() && hasPlaceOfItsOwn(job)) {
            queue(job);
        }
        queueDependencies(job);
        settle();
    }

    /** A pipeline may have a single job, which then has the deadline. */
    private static boolean hasPlaceOfItsOwn(Job job) {
        return job.spec().deadlineS() != null || !job.spec().dependencies().isEmpty();
    }

    private void queue(Job job) {
        if (queued.add(job.id())) {
            stale.add(job);
        }
    }

    private void queueDependencies(Job job) {
        for (String id : job.spec().dependencies()) {
            Job needed = clusterState.job(id);
            if (needed != null && needed.active()) {
                queue(needed);
            }
        }
    }

    /** Looks at what has changed since, as far as one call may. */
    void settle() {
        for (int steps = 0; steps < MOST_STEPS && !stale.isEmpty(); ) {
            Job job = stale.poll();
            queued.remove(job.id());
            steps += 1 + directory.dependencies().dependents(job.id()).size();
            if (job.active() && derive(job)) {
                queueDependencies(job);
            }
        }
    }

    /** True if that is a change. */
    private boolean derive(Job job) {
        JobRecord record = directory.get(job.id());
        Priority priority = job.spec().priority();
        double due =
                job.spec().deadlineS() == null || record.acceptedAt() == 0
                        ? Double.POSITIVE_INFINITY
                        : record.acceptedAt() + job.spec().deadlineS();
        for (String id : directory.dependencies().dependents(job.id())) {
            Job dependent = clusterState.job(id);
            if (dependent != null && dependent.active()) {
                priority = dependent.priority().above(priority) ? dependent.priority() : priority;
                due = Math.min(due, dependent.latestStart());
            }
        }
        double latestStart = due - job.spec().estimateS();
        if (priority == job.priority() && latestStart == job.latestStart()) {
            return false;
        }
        clusterState.rank(job, priority, latestStart);
        return true;
    }
}
