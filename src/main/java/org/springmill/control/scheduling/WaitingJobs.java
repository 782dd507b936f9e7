package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;

/** The jobs that have tasks to place, and the order in which they are scheduled. */
final class WaitingJobs {
    private final ClusterState clusterState;

    WaitingJobs(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /**
     * Waiting jobs by priority. Among equal priorities, jobs within their team's guaranteed quota
     * come first, then services, then jobs with recalled tasks, then jobs that have to start
     * earliest to meet their deadline, then jobs that became eligible first.
     */
    List<Job> inSchedulingOrder() {
        List<Job> waiting = new ArrayList<>();
        for (Job job : clusterState.jobs().values()) {
            if (isWaiting(job)) {
                waiting.add(job);
            }
        }
        Map<Job, Boolean> guaranteed = new HashMap<>();
        waiting.forEach(job -> guaranteed.put(job, isWithinGuarantee(job)));
        waiting.sort(
                Comparator.comparing(Job::priority)
                        .thenComparing(job -> !guaranteed.get(job))
                        .thenComparing(job -> !job.spec().isService())
                        .thenComparing(job -> !job.hasRecalledTasks())
                        // All jobs share one clock, so ordering by latest start is ordering by
                        // slack.
                        .thenComparingDouble(Job::latestStartAt)
                        .thenComparingLong(Job::eligibleRevision));
        return waiting;
    }

    /** Whether any job has a task to place. */
    boolean hasWaitingTasks() {
        return clusterState.jobs().values().stream().anyMatch(WaitingJobs::isWaiting);
    }

    private static boolean isWaiting(Job job) {
        return job.isEligible() && job.nextWaitingTask() >= 0;
    }

    private boolean isWithinGuarantee(Job job) {
        return clusterState.teamUsage(job.spec().team()).isWithinGuarantee(job.spec());
    }
}
