package org.springmill.control.cluster;

import org.springmill.control.borrowing.Entitlement;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/** The resources that a team's attempts use, compared with its guaranteed and maximum share. */
public final class TeamUsage {
    /** How many tasks are allowed by a resource that is unlimited or that the task does not use. */
    private static final double UNLIMITED_TASKS = 1e9;

    private final Settings.Team team;
    private Resources used = Resources.NONE;

    /** Part of the limit that is reserved for replicas that wait for a machine. */
    private Resources reserved = Resources.NONE;

    /** Part of the used resources whose attempts are being stopped. */
    private Resources stopping = Resources.NONE;

    TeamUsage(Settings.Team team) {
        this.team = team;
    }

    /** Adds a task's resources to the used ones (sign 1) or subtracts them (sign -1). */
    void charge(Submission task, int sign) {
        used = used.plus(Resources.of(task).times(sign));
    }

    /** The same for the resources of attempts that are being stopped. */
    void chargeStopping(Submission task, int sign) {
        stopping = stopping.plus(Resources.of(task).times(sign));
    }

    /** The used resources minus those of attempts that are being stopped. */
    private Resources usedUnlessStopping() {
        return used.minus(stopping);
    }

    /** Whether the limit, minus the reserved part, allows one more task. */
    public boolean isWithinLimit(Submission spec) {
        Resources all = used.plus(reserved).plus(spec);
        return team.withinLimit(all.cpus(), all.gpus());
    }

    /**
     * Reserves part of the limit for replicas that wait for a machine. Otherwise a later job of the
     * team may use it up for as long as it runs, and the replicas exceed the limit once there is a
     * machine for them.
     */
    public void reserveLimit(Submission spec, int tasks) {
        reserved = reserved.plus(Resources.of(spec).times(tasks));
    }

    void releaseReservations() {
        reserved = Resources.NONE;
    }

    /** Whether the team has a guarantee. */
    public boolean hasGuarantee() {
        return team.hasGuarantee();
    }

    /** Whether one more task is within the guarantee. */
    public boolean isWithinGuarantee(Submission spec) {
        return team.withinGuarantee(used.cpus() + spec.cpus(), used.gpus() + spec.gpus());
    }

    /** Whether the team uses more than its guarantee, so that others may preempt or recall it. */
    boolean isAboveGuarantee() {
        return Entitlement.usesFullGuarantee(team, usedUnlessStopping());
    }

    /** Whether the team keeps its entitlement if attempts that use {@code loss} are stopped. */
    public boolean keepsEntitlementWithout(Resources loss) {
        return Entitlement.keepsEntitlement(team, usedUnlessStopping(), loss);
    }

    /**
     * The same, counting only attempts that are known to run.
     *
     * @param confirmed resources of these attempts
     */
    public boolean keepsEntitlementWithout(Resources loss, Resources confirmed) {
        return Entitlement.keepsEntitlement(team, confirmed, loss);
    }

    /** How many more tasks the limit allows. */
    public int tasksWithinLimit(Submission spec) {
        return tasksWithinBounds(spec, team.cpusMax(), team.gpusMax(), used);
    }

    /** How many more tasks the limit, minus the reserved part, allows. */
    public int tasksWithinUnreservedLimit(Submission spec) {
        return tasksWithinUnreservedLimit(spec, Resources.NONE);
    }

    /** How many more tasks the limit allows, minus the reserved part and {@code alsoReserved}. */
    public int tasksWithinUnreservedLimit(Submission spec, Resources alsoReserved) {
        return tasksWithinBounds(
                spec, team.cpusMax(), team.gpusMax(), used.plus(reserved).plus(alsoReserved));
    }

    /** How many more tasks are within the guarantee. */
    public int tasksWithinGuarantee(Submission spec) {
        return tasksWithinGuarantee(spec, Resources.NONE);
    }

    /** How many more tasks are within the guarantee, minus what recalls reserve for the team. */
    public int tasksWithinGuarantee(Submission spec, Resources reservedByRecalls) {
        return team.hasGuarantee()
                ? tasksWithinBounds(spec, team.cpus(), team.gpus(), used.plus(reservedByRecalls))
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
                ? UNLIMITED_TASKS
                : (bound - taken + Resources.ROUNDING) / each;
    }
}
