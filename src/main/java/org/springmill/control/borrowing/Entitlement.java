package org.springmill.control.borrowing;

import org.springmill.protocol.Resources;
import org.springmill.protocol.Settings.Team;

/**
 * The entitlement of a team under its guaranteed quota. In each resource that a team is guaranteed,
 * its entitlement is the smaller of the guarantee and its demand, which is what it runs and what
 * waits and could run. What it runs above its guarantee is on loan and may be recalled for another
 * team's work; the rest may not.
 */
public final class Entitlement {
    private Entitlement() {}

    /**
     * Whether a team keeps its entitlement if some of what it runs is preempted for another team. A
     * preempted task waits again, so the demand does not change. What the team runs has to stay at
     * or above the guarantee in every resource that it is guaranteed and that the loss takes from
     * it: an excess in one resource does not make up for another.
     *
     * @param runs resources of what it runs, without tasks that were told to stop already
     * @param loss resources of what is preempted
     */
    public static boolean coversLoss(Team team, Resources runs, Resources loss) {
        if (!team.hasGuarantee()) {
            return true;
        }
        boolean losesCpus = team.cpus() > 0 && loss.cpus() > 0;
        boolean losesGpus = team.gpus() > 0 && loss.gpus() > 0;
        if (!losesCpus && !losesGpus) {
            return hasLoans(team, runs);
        }
        Resources left = runs.minus(loss);
        boolean cpusStay = left.cpus() >= team.cpus() - Resources.ROUNDING;
        boolean gpusStay = left.gpus() >= team.gpus() - Resources.ROUNDING;
        return (!losesCpus || cpusStay) && (!losesGpus || gpusStay);
    }

    /** Whether a team runs anything on loan; all that a team without a guarantee runs is. */
    public static boolean hasLoans(Team team, Resources runs) {
        if (!team.hasGuarantee()) {
            return runs.cpus() > Resources.ROUNDING || runs.gpus() > Resources.ROUNDING;
        }
        return (team.cpus() > 0 && runs.cpus() > team.cpus() - Resources.ROUNDING)
                || (team.gpus() > 0 && runs.gpus() > team.gpus() - Resources.ROUNDING);
    }
}
