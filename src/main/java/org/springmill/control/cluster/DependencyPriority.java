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
 * Propagates priorities and deadlines from jobs to their dependencies, since owners set them on the
 * last job of a pipeline. A job gets the highest priority of its own and those of its dependents.
 * Its latest start is the earliest of its own deadline and its dependents' latest starts, minus its
 * estimated run time. Both are derived, never stored, and only order the queue: owners' estimates
 * are often wrong, so no guarantee depends on them.
 *
 * <p>Updated incrementally as jobs are added and end. A job whose rank has changed passes it to its
 * dependencies. Each dependency keeps a summary of its dependents' ranks, so these are not read
 * again. Pending jobs are processed in descending order of acceptance: a job depends only on
 * earlier ones, so each is processed once for a change. The work of one call is bounded. The rest
 * is left to the next call, which processes a job once for all changes that reached it since.
 *
 * <p>Work is counted in steps: one job processed, or one of its dependencies updated. A call may
 * exceed its bound by the number of dependencies of one job, at most a few hundred per record.
 */
public final class DependencyPriority {
    /** Maximum number of steps of one call of {@link #propagatePending}. */
    private static final int MAX_STEPS = 5_000;

    /** Maximum number of steps for one change; enough to update an ordinary pipeline completely. */
    private static final int MAX_STEPS_PER_CHANGE = 250;

    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final PriorityQueue<Job> pendingJobs =
            new PriorityQueue<>(Comparator.comparingLong(Job::acceptedRevision).reversed());
    private final Set<String> pendingIds = new HashSet<>();

    /** By the id of the dependency, which may not have been added yet. */
    private final Map<String, DependentRanks> dependentRanks = new HashMap<>();

    /** The rank that each active job with dependencies last passed to them. */
    private final Map<String, Rank> propagatedRanks = new HashMap<>();

    /** Starts without jobs. */
    public DependencyPriority(JobDirectory directory, ClusterState clusterState) {
        this.directory = directory;
        this.clusterState = clusterState;
    }

    /**
     * Records that a job was added or has ended, and propagates ranks within the bound for one
     * change.
     *
     * @return the steps taken
     */
    public int recordChange(Job job) {
        int steps = 1;
        if (!job.isActive()) {
            steps += propagateToDependencies(job, null);
        } else if (hasOwnRank(job) || dependentRanks.containsKey(job.id())) {
            enqueue(job);
        }
        return steps + propagatePending(MAX_STEPS_PER_CHANGE);
    }

    /**
     * Propagates ranks within the bound for one call.
     *
     * @return the steps taken; 0 if nothing was pending
     */
    public int propagatePending() {
        return propagatePending(MAX_STEPS);
    }

    private int propagatePending(int maxSteps) {
        int steps = 0;
        while (steps < maxSteps && !pendingJobs.isEmpty()) {
            Job job = pendingJobs.poll();
            pendingIds.remove(job.id());
            steps++;
            if (job.isActive()) {
                Rank rank = derive(job);
                apply(job, rank);
                steps += propagateToDependencies(job, rank);
            }
        }
        return steps;
    }

    /** Whether a rank has to be derived for the job even if it has no dependents. */
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

    /**
     * The job's own deadline as time of day in seconds; infinite without one or if the time of
     * acceptance is unknown.
     */
    private double ownDeadline(Job job) {
        JobRecord record = directory.get(job.id());
        Double deadlineSeconds = job.spec().deadlineSeconds();
        return deadlineSeconds == null || record.acceptedAt() == 0
                ? Double.POSITIVE_INFINITY
                : record.acceptedAt() + deadlineSeconds;
    }

    private void apply(Job job, Rank rank) {
        if (rank.priority() != job.priority() || rank.latestStart() != job.latestStartAt()) {
            clusterState.rank(job, rank.priority(), rank.latestStart());
        }
    }

    /**
     * Passes a job's rank to its dependencies if it has changed.
     *
     * @param rank null once the job has ended
     * @return how many dependencies were updated
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
            Job dependencyJob = clusterState.job(dependency);
            if (dependencyJob != null && dependencyJob.isActive()) {
                enqueue(dependencyJob);
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
