package org.springmill.control.borrowing;

import org.springmill.protocol.Resources;
import org.springmill.protocol.Settings.Team;

/**
 * The entitlement of a team under its guaranteed quota. For each guaranteed resource, the
 * entitlement is the smaller of the guarantee and the team's demand, which includes running tasks
 * and waiting tasks that could run. Resources that a team uses above its guarantee are borrowed and
 * may be recalled for another team's work; the rest may not.
 */
public final class Entitlement {
    private Entitlement() {}

    /**
     * Whether a team keeps its entitlement if some of its tasks are preempted for another team. A
     * preempted task waits again, so the demand does not change. In every guaranteed resource that
     * the preempted tasks use, the team's usage has to stay at or above the guarantee: an excess in
     * one resource does not compensate for another. If they use no guaranteed resource, {@link
     * #usesFullGuarantee} decides.
     *
     * @param usage resources that its tasks use, without those that are already being stopped
     * @param loss resources of the tasks that are preempted
     */
    public static boolean keepsEntitlement(Team team, Resources usage, Resources loss) {
        if (!team.hasGuarantee()) {
            return true;
        }
        boolean losesCpus = team.cpus() > 0 && loss.cpus() > 0;
        boolean losesGpus = team.gpus() > 0 && loss.gpus() > 0;
        if (!losesCpus && !losesGpus) {
            return usesFullGuarantee(team, usage);
        }
        Resources left = usage.minus(loss);
        boolean cpusStay = left.cpus() >= team.cpus() - Resources.ROUNDING;
        boolean gpusStay = left.gpus() >= team.gpus() - Resources.ROUNDING;
        return (!losesCpus || cpusStay) && (!losesGpus || gpusStay);
    }

    /**
     * Whether a team uses all of its guarantee, or more, in any guaranteed resource. For a team
     * without a guarantee, whether it uses anything, since all of that is borrowed.
     */
    public static boolean usesFullGuarantee(Team team, Resources usage) {
        if (!team.hasGuarantee()) {
            return usage.cpus() > Resources.ROUNDING || usage.gpus() > Resources.ROUNDING;
        }
        return (team.cpus() > 0 && usage.cpus() > team.cpus() - Resources.ROUNDING)
                || (team.gpus() > 0 && usage.gpus() > team.gpus() - Resources.ROUNDING);
    }
}
