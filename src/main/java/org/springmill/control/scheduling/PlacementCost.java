package org.springmill.control.scheduling;

import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Resources;

/** The cost, in seconds, of placing a task on a machine; infinite where it may not be placed. */
final class PlacementCost {
    /** For a machine on which the job failed recently; longer than any wait for an image. */
    static final double AVOIDED_MACHINE_PENALTY_SECONDS = 1e4;

    private final ClusterState clusterState;
    private final CapacityFilter capacityFilter;
    private final Reservations reservations;
    private final MachineScore score;

    PlacementCost(
            ClusterState clusterState,
            CapacityFilter capacityFilter,
            Reservations reservations,
            MachineScore score) {
        this.clusterState = clusterState;
        this.capacityFilter = capacityFilter;
        this.reservations = reservations;
        this.score = score;
    }

    /** The machine's score, with a penalty if the job failed there recently. */
    double of(Job job, Machine machine, double now) {
        return mayPlace(job, machine, now)
                ? score.of(job, machine, now) + avoidancePenalty(job, machine, now)
                : Double.POSITIVE_INFINITY;
    }

    private boolean mayPlace(Job job, Machine machine, double now) {
        return hasCapacity(job, machine)
                && Placement.isEligible(job, machine, now)
                && !machine.allocation().isReservedForOthers(job, now)
                && !reservations.isReservedForOthers(job, machine);
    }

    /**
     * Whether a machine has enough capacity that the job may use. Teams without a guaranteed quota
     * may not use a machine's headroom: the tasks for which it is reserved would otherwise have to
     * wait for a preemption, which takes longer than their start may take.
     */
    private boolean hasCapacity(Job job, Machine machine) {
        Resources unavailable = capacityFilter.unavailableTo(job, machine);
        if (!clusterState.teamUsage(job.spec().team()).hasGuarantee()) {
            unavailable = unavailable.plus(machine.allocation().headroom());
        }
        return machine.fitsExcluding(unavailable, job.spec());
    }

    private static double avoidancePenalty(Job job, Machine machine, double now) {
        return job.failures().failedRecentlyOn(machine.name(), now)
                ? AVOIDED_MACHINE_PENALTY_SECONDS
                : 0;
    }
}
