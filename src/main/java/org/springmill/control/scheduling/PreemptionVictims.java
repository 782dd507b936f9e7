package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/** Chooses which tasks of a machine are preempted for one task of a waiting job. */
final class PreemptionVictims {
    private final ClusterState clusterState;

    PreemptionVictims(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /**
     * The tasks to preempt on a machine so that one more task of a job fits, chosen by lowest
     * priority and then least lost work; empty if not enough may be preempted.
     *
     * @param guaranteed whether the task is within its team's guaranteed quota
     * @param assigned capacity there that the round has assigned to other tasks
     */
    Optional<List<TaskAttempt>> select(
            Job job, boolean guaranteed, Machine machine, Resources assigned, double now) {
        Resources free = machine.free().minus(assigned);
        List<TaskAttempt> candidates = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (isEnding(attempt)) {
                free = free.plus(attempt.job().spec());
            } else if (attempt.state() != TaskAttempt.State.CLAIMING) {
                candidates.add(attempt);
            }
        }
        if (free.canFit(job.spec())) {
            return Optional.of(List.of());
        }
        candidates.sort(
                Comparator.comparing((TaskAttempt attempt) -> attempt.job().priority())
                        .reversed()
                        .thenComparingDouble(attempt -> lostWorkSeconds(attempt, now)));
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt candidate : candidates) {
            if (free.canFit(job.spec())) {
                break;
            }
            if (mayPreempt(candidate, job, guaranteed, victims)) {
                free = free.plus(candidate.job().spec());
                victims.add(candidate);
            }
        }
        return free.canFit(job.spec()) ? Optional.of(victims) : Optional.empty();
    }

    private static boolean isEnding(TaskAttempt attempt) {
        return attempt.state() == TaskAttempt.State.STOPPING
                || attempt.state() == TaskAttempt.State.ENDED;
    }

    /** Seconds of work that are lost if a task is stopped now, or the time its checkpoint takes. */
    static double lostWorkSeconds(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.runningSeconds(now);
        return spec.hasCheckpoints() ? Math.min(ran, spec.checkpointSaveSeconds()) : ran;
    }

    /**
     * Whether a task may be preempted for a job. A job of higher priority may always preempt it. A
     * job within its team's guaranteed quota may also preempt a task of another team that has no
     * higher priority than the job, if that team keeps its entitlement; tasks that are already
     * being stopped do not count towards it. Without the entitlement and priority checks, the
     * victim's team was below its guarantee itself or came first in the scheduling order again, and
     * the two teams preempted each other several times a second.
     */
    private boolean mayPreempt(
            TaskAttempt candidate, Job job, boolean guaranteed, List<TaskAttempt> victims) {
        Submission victim = candidate.job().spec();
        Priority priority = job.priority();
        Priority victimPriority = candidate.job().priority();
        if (priority.isAbove(victimPriority)) {
            return true;
        }
        if (!guaranteed
                || victim.team().equals(job.spec().team())
                || victimPriority.isAbove(priority)) {
            return false;
        }
        Resources loss = Resources.of(victim);
        for (TaskAttempt other : victims) {
            if (other.job().spec().team().equals(victim.team())) {
                loss = loss.plus(other.job().spec());
            }
        }
        return clusterState.teamUsage(victim.team()).keepsEntitlementWithout(loss);
    }
}
