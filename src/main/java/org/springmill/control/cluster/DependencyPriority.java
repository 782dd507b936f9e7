package org.springmill.control.cluster;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.springmill.control.cluster.DependentRanks.Rank;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Priority;

/**
 * Priority and deadline flow from jobs to their dependencies: whoever sets them does so on the last
 * job of a pipeline. A job has the highest priority of its own and those of its dependents, and has
 * to start by the time that leaves the rest of its pipeline its estimated run before the deadline.
 * Both are derived, never stored, and are no more than an order: owners' estimates are often wrong,
 * and no rule hangs on them.
 *
 * <p>Kept up as jobs come and end. A job whose rank has changed tells its dependencies, which keep
 * the ranks of all their dependents and so need not look at each of them again. The latest accepted
 * is looked at first, and since a job can only need earlier ones each is looked at once for a
 * change. The work of one call is bounded; what is left over waits for the next, so that many
 * changes share one walk through a long chain.
 *
 * <p>Work is counted in steps: a job looked at, or one of its dependencies told. A call may go over
 * its bound by the dependencies of one job, of which a record holds some hundreds at most.
 */
public final class DependencyPriority {
    /** Steps of one call of {@link #settle}. */
    private static final int MAX_STEPS = 5_000;

    /** Steps for one change: enough for any ordinary pipeline to be up to date at once. */
    private static final int MAX_STEPS_PER_CHANGE = 250;

    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final PriorityQueue<Job> pendingJobs =
            new PriorityQueue<>(Comparator.comparingLong(Job::acceptedRevision).reversed());
    private final Set<String> pendingIds = new HashSet<>();

    /** By the id of the dependency, which need not be known yet. */
    private final Map<String, DependentRanks> dependentRanks = new HashMap<>();

    /** What each active job with dependencies last told them. */
    private final Map<String, Rank> propagatedRanks = new HashMap<>();

    public DependencyPriority(JobDirectory directory, ClusterState clusterState) {
        this.directory = directory;
        this.clusterState = clusterState;
    }

    /**
     * Takes note of a job that has come or ended, and brings the order up to date as far as one
     * change may.
     *
     * @return the steps that this took
     */
    public int changed(Job job) {
        int steps = 1;
        if (!job.active()) {
            steps += propagateToDependencies(job, null);
        } else if (hasOwnRank(job) || dependentRanks.containsKey(job.id())) {
            enqueue(job);
        }
        return steps + settle(MAX_STEPS_PER_CHANGE);
    }

    /**
     * Brings the order up to date as far as one call may.
     *
     * @return the steps that this took; 0 if nothing was left to do
     */
    public int settle() {
        return settle(MAX_STEPS);
    }

    private int settle(int mostSteps) {
        int steps = 0;
        while (steps < mostSteps && !pendingJobs.isEmpty()) {
            Job job = pendingJobs.poll();
            pendingIds.remove(job.id());
            steps++;
            if (job.active()) {
                Rank rank = derive(job);
                apply(job, rank);
                steps += propagateToDependencies(job, rank);
            }
        }
        return steps;
    }

    /** A pipeline may have a single job, which then has the deadline. */
    private static boolean hasOwnRank(Job job) {
        return job.spec().deadlineSeconds() != null || !job.spec().dependencies().isEmpty();
    }

    private void enqueue(Job job) {
        if (pendingIds.add(job.id())) {
            pendingJobs.add(job);
        }
    }

    private Rank derive(Job job) {
        Priority priority = job.spec().priority();
        double due = ownDeadline(job);
        DependentRanks ranks = dependentRanks.get(job.id());
        if (ranks != null) {
            priority = ranks.highestPriority(priority);
            due = Math.min(due, ranks.earliestLatestStart());
        }
        return new Rank(priority, due - job.spec().estimatedRunSeconds());
    }

    /** Time of day; infinite without a deadline, or if it is not known since when it counts. */
    private double ownDeadline(Job job) {
        JobRecord record = directory.get(job.id());
        Double deadlineSeconds = job.spec().deadlineSeconds();
        return deadlineSeconds == null || record.acceptedAt() == 0
                ? Double.POSITIVE_INFINITY
                : record.acceptedAt() + deadlineSeconds;
    }

    private void apply(Job job, Rank rank) {
        if (rank.priority() != job.priority() || rank.latestStart() != job.latestStart()) {
            clusterState.rank(job, rank.priority(), rank.latestStart());
        }
    }

    /**
     * Tells a job's dependencies its rank if they do not know it.
     *
     * @param rank null once the job has ended
     * @return how many were told
     */
    private int propagateToDependencies(Job job, Rank rank) {
        if (job.spec().dependencies().isEmpty()) {
            return 0;
        }
        Rank before =
                rank == null
                        ? propagatedRanks.remove(job.id())
                        : propagatedRanks.put(job.id(), rank);
        if (rank == null ? before == null : rank.equals(before)) {
            return 0;
        }
        for (String dependency : job.spec().dependencies()) {
            replaceRank(dependency, before, rank);
            Job needed = clusterState.job(dependency);
            if (needed != null && needed.active()) {
                enqueue(needed);
            }
        }
        return job.spec().dependencies().size();
    }

    private void replaceRank(String dependency, Rank before, Rank after) {
        DependentRanks ranks =
                dependentRanks.computeIfAbsent(dependency, id -> new DependentRanks());
        if (before != null) {
            ranks.remove(before);
        }
        if (after != null) {
            ranks.add(after);
        }
        if (ranks.isEmpty()) {
            dependentRanks.remove(dependency);
        }
    }
}
