package org.springmill.control.cluster;

import org.springmill.control.borrowing.Entitlement;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/** What a team's attempts take, held against its guarantee and its limit. */
public final class TeamUsage {
    /** How many tasks a resource allows that is not bounded or not needed. */
    private static final double UNBOUNDED_TASKS = 1e9;

    private final Settings.Team team;
    private Resources used = Resources.NONE;

    /** Part of the limit that is kept for replicas that wait for a machine. */
    private Resources reserved = Resources.NONE;

    /** Part of what is used that was told to stop. */
    private Resources stopping = Resources.NONE;

    TeamUsage(Settings.Team team) {
        this.team = team;
    }

    /** Adds a task to what is used, or takes it out. */
    void charge(Submission task, int sign) {
        used = used.plus(Resources.of(task).times(sign));
    }

    /** Adds a task to what was told to stop, or takes it out. */
    void stopping(Submission task, int sign) {
        stopping = stopping.plus(Resources.of(task).times(sign));
    }

    /** What it uses beside what was told to stop. */
    private Resources usedUnlessStopping() {
        return used.minus(stopping);
    }

    /** Whether the limit allows one more task beside what is kept for others. */
    public boolean allows(Submission spec) {
        Resources all = used.plus(reserved).plus(spec);
        return team.withinLimit(all.cpus(), all.gpus());
    }

    /**
     * Keeps part of the limit for replicas that wait for a machine. A later job of the team would
     * otherwise take it for as long as it lives, and the earlier one would find a machine and no
     * limit left.
     */
    public void hold(Submission spec, int tasks) {
        reserved = reserved.plus(Resources.of(spec).times(tasks));
    }

    void releaseReservations() {
        reserved = Resources.NONE;
    }

    /** Whether the team is guaranteed anything at all. */
    public boolean hasGuarantee() {
        return team.hasGuarantee();
    }

    /** Whether one more task is within the guarantee. */
    public boolean guaranteedFor(Submission spec) {
        return team.withinGuarantee(used.cpus() + spec.cpus(), used.gpus() + spec.gpus());
    }

    /** Whether the team runs above its guarantee, so that it may have to give something back. */
    boolean isAboveGuarantee() {
        return Entitlement.hasLoans(team, usedUnlessStopping());
    }

    /** Whether the team keeps what it is entitled to if so much more of what it runs is stopped. */
    public boolean keepsEntitlementWithout(Resources loss) {
        return Entitlement.coversLoss(team, usedUnlessStopping(), loss);
    }

    /**
     * The same, counting only part of what it runs.
     *
     * @param confirmed what is known to run
     */
    public boolean keepsEntitlementWithout(Resources loss, Resources confirmed) {
        return Entitlement.coversLoss(team, confirmed, loss);
    }

    /** How many more tasks the limit allows. */
    public int roomFor(Submission spec) {
        return tasksWithinBounds(spec, team.cpusMax(), team.gpusMax(), used);
    }

    /** How many tasks the limit allows beside what is kept for others. */
    public int roomBesideHeld(Submission spec) {
        return roomBesideHeld(spec, Resources.NONE);
    }

    /** How many tasks the limit allows beside what is kept for others and promised. */
    public int roomBesideHeld(Submission spec, Resources promised) {
        return tasksWithinBounds(
                spec, team.cpusMax(), team.gpusMax(), used.plus(reserved).plus(promised));
    }

    /** How many more tasks are within the guarantee. */
    public int guaranteedRoomFor(Submission spec) {
        return guaranteedRoomFor(spec, Resources.NONE);
    }

    /** How many more tasks are within the guarantee beside what is promised to the team. */
    public int guaranteedRoomFor(Submission spec, Resources promised) {
        return team.hasGuarantee()
                ? tasksWithinBounds(spec, team.cpus(), team.gpus(), used.plus(promised))
                : 0;
    }

    private static int tasksWithinBounds(
            Submission spec, double cpuBound, double gpuBound, Resources taken) {
        double byCpus = tasksWithin(cpuBound, taken.cpus(), spec.cpus());
        double byGpus = tasksWithin(gpuBound, taken.gpus(), spec.gpus());
        return (int) Math.max(0, Math.floor(Math.min(byCpus, byGpus)));
    }

    private static double tasksWithin(double bound, double taken, double each) {
        return bound == 0 || each == 0
                ? UNBOUNDED_TASKS
                : (bound - taken + Resources.ROUNDING) / each;
    }
}
