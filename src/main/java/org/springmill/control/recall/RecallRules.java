package org.springmill.control.recall;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;

/** Decides which tasks may be recalled, so that no team is left below its entitlement. */
final class RecallRules {
    private final ClusterState clusterState;
    private final PlannedRecalls planned;
    private final ConfirmedUsage confirmed;

    RecallRules(ClusterState clusterState, PlannedRecalls planned, ConfirmedUsage confirmed) {
        this.clusterState = clusterState;
        this.planned = planned;
        this.confirmed = confirmed;
    }

    /**
     * Whether tasks may be recalled for a job. For tasks of the job's own team, the job needs a
     * higher priority. For tasks of another team, the job needs a higher priority, or a guaranteed
     * quota and no lower priority; heartbeats also have to confirm that the tasks run, and their
     * team has to keep its entitlement.
     *
     * @param guaranteed whether the job's tasks are within its team's guaranteed quota
     * @param others units that are chosen already for the same machine
     */
    boolean mayRecall(VictimUnit unit, Job job, boolean guaranteed, List<VictimUnit> others) {
        Priority priority = job.priority();
        Priority victimPriority = unit.job().priority();
        String team = unit.job().spec().team();
        if (team.equals(job.spec().team())) {
            return priority.isAbove(victimPriority);
        }
        if (!priority.isAbove(victimPriority)
                && (!guaranteed || victimPriority.isAbove(priority))) {
            return false;
        }
        if (!unit.attemptsOnMachine().stream().allMatch(confirmed::isConfirmed)) {
            return false;
        }
        Resources loss = planned.lossOf(team).plus(unit.loss());
        for (VictimUnit other : others) {
            if (other.job().spec().team().equals(team)) {
                loss = loss.plus(other.loss());
            }
        }
        return clusterState.teamUsage(team).keepsEntitlementWithout(loss, confirmed.of(team));
    }

    /**
     * Whether the teams of victims that are marked as recalled still keep their entitlement without
     * them. This is checked again after the commit, which may take long: what a team runs may have
     * changed in the meantime.
     */
    boolean keepsEntitlements(Job beneficiary, List<TaskAttempt> victims) {
        confirmed.reset();
        Map<String, Resources> losses = new HashMap<>();
        for (TaskAttempt victim : victims) {
            String team = victim.job().spec().team();
            if (!team.equals(beneficiary.spec().team()) && confirmed.isConfirmed(victim)) {
                losses.merge(team, Resources.of(victim.job().spec()), Resources::plus);
            }
        }
        return losses.entrySet().stream()
                .allMatch(loss -> keepsEntitlement(loss.getKey(), loss.getValue()));
    }

    private boolean keepsEntitlement(String team, Resources loss) {
        Resources beforeRecall = confirmed.of(team).plus(loss);
        return clusterState.teamUsage(team).keepsEntitlementWithout(loss, beforeRecall);
    }
}
