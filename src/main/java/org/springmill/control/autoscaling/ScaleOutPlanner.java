package org.springmill.control.autoscaling;

import java.util.List;
import org.springmill.control.cluster.Job;

/**
 * Compares waiting and expected demand with the fleet at regular intervals: requests machines for
 * tasks that do not fit, deletes idle machines, and drains one that is mostly free.
 */
final class ScaleOutPlanner {
    private final MachineListing listing;
    private final SchedulableFleet schedulableFleet;
    private final WaitingDemand waitingDemand;
    private final Headroom headroom;
    private final ScaleOutRequests scaleOutRequests;
    private final IdleMachines idleMachines;
    private final MachineDraining draining;
    private final double startedAt;
    private boolean firstTerm;

    /**
     * @param now start of the leader's term in seconds
     */
    ScaleOutPlanner(
            MachineListing listing,
            SchedulableFleet schedulableFleet,
            WaitingDemand waitingDemand,
            Headroom headroom,
            ScaleOutRequests scaleOutRequests,
            IdleMachines idleMachines,
            MachineDraining draining,
            double now) {
        this.listing = listing;
        this.schedulableFleet = schedulableFleet;
        this.waitingDemand = waitingDemand;
        this.headroom = headroom;
        this.scaleOutRequests = scaleOutRequests;
        this.idleMachines = idleMachines;
        this.draining = draining;
        this.startedAt = now;
    }

    /**
     * Begins the leader's term.
     *
     * @param noEarlierTerm whether no earlier leader can have requested any machine
     */
    void start(boolean noEarlierTerm) {
        firstTerm = noEarlierTerm;
    }

    /** Plans once and carries out the plan. */
    void plan(double now) {
        if (!areEarlierMachinesListed(now)) {
            return;
        }
        DemandPacking packing = schedulableFleet.packing(now);
        List<Job> waiting = waitingDemand.jobs();
        waitingDemand.packGuaranteed(waiting, packing, now);
        headroom.reserve(packing, now);
        recordHeadroom(packing.bins());
        waitingDemand.packUnguaranteed(waiting, packing, now);
        scaleOutRequests.requestMachines(packing.plannedBins());
        idleMachines.delete(packing.bins(), now);
        if (waiting.isEmpty()) {
            draining.drainOne(packing.bins(), now);
        }
    }

    private static void recordHeadroom(List<Bin> bins) {
        for (Bin bin : bins) {
            if (!bin.isPlanned()) {
                bin.machine().allocation().headroom(bin.expected());
            }
        }
    }

    /** Machines that were requested just before a failover may not be listed yet. */
    private boolean areEarlierMachinesListed(double now) {
        return firstTerm || now - startedAt >= listing.longestLagSeconds();
    }
}
