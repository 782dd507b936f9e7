package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * Weighs once in a while what waits and what is to be expected against the fleet: rents machines
 * for what finds no room, has idle ones deleted, and drains one that is mostly free.
 */
final class ScaleOutPlanner {
    /** The fullest first, so that what is free gathers on few machines that can be returned. */
    private static final Comparator<Bin> FILLING_ORDER =
            Comparator.comparing(Bin::activity)
                    .thenComparingDouble(bin -> bin.kind().type().price())
                    .thenComparingDouble(Bin::freeShare);

    /**
     * Tasks are short if several of them follow each other within a boot. Where one does, as with
     * arrays that run for about a boot, half of a job would wait for the other half.
     */
    private static final double SHORT_TASK_BOOTS = 0.25;

    private final Fleet fleet;
    private final Placement placement;
    private final MachineListing listing;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final ScaleOutRequests scaleOutRequests;
    private final Headroom headroom;
    private final IdleMachines idleMachines;
    private final MachineDraining draining;
    private final Settings settings;
    private final Timeouts timeouts;
    private final double startedAt;
    private boolean firstTerm;

    ScaleOutPlanner(
            Fleet fleet,
            Placement placement,
            MachineListing listing,
            PartitionedZones partitions,
            OverdueBoots overdueBoots,
            ScaleOutRequests scaleOutRequests,
            Headroom headroom,
            IdleMachines idleMachines,
            MachineDraining draining,
            Settings settings,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.placement = placement;
        this.listing = listing;
        this.partitions = partitions;
        this.overdueBoots = overdueBoots;
        this.scaleOutRequests = scaleOutRequests;
        this.headroom = headroom;
        this.idleMachines = idleMachines;
        this.draining = draining;
        this.settings = settings;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /**
     * @param noEarlierTerm whether no earlier leader can have rented anything
     */
    void start(boolean noEarlierTerm) {
        firstTerm = noEarlierTerm;
    }

    /** Makes one plan and carries it out. */
    void plan(double now) {
        if (!areEarlierMachinesListed(now)) {
            return;
        }
        DemandPacking packing = packing(now);
        List<Job> waiting = placement.waiting();
        waiting.stream().filter(this::hasGuarantee).forEach(job -> pack(job, packing, now));
        headroom.reserve(packing, now);
        recordHeadroom(packing.bins());
        waiting.stream().filter(job -> !hasGuarantee(job)).forEach(job -> pack(job, packing, now));
        scaleOutRequests.requestMachines(packing.plannedBins());
        idleMachines.delete(packing.bins(), now);
        if (waiting.isEmpty()) {
            draining.drainOne(packing.bins(), now);
        }
    }

    private boolean hasGuarantee(Job job) {
        return fleet.clusterState().usage(job.spec().team()).hasGuarantee();
    }

    private static void recordHeadroom(List<Bin> bins) {
        for (Bin bin : bins) {
            if (!bin.isPlanned()) {
                bin.machine().allocation().headroom(bin.expected());
            }
        }
    }

    /** Machines rented just before a change of leader may not be listed yet. */
    private boolean areEarlierMachinesListed(double now) {
        return firstTerm || now - startedAt >= listing.longestLagSeconds();
    }

    private DemandPacking packing(double now) {
        ZoneCounts machinesPerZone = new ZoneCounts();
        fleet.machines().forEach(machine -> machinesPerZone.add(machine.zone()));
        return new DemandPacking(
                fleet.catalog().all(),
                settings.zones(),
                kind -> isAvailable(kind, now),
                overdueBoots::areBootsFailing,
                machinesPerZone,
                schedulableBins(now));
    }

    private boolean isAvailable(MachineKind kind, double now) {
        return !partitions.contains(kind.zone())
                && !scaleOutRequests.isRefused(kind, now)
                && overdueBoots.mayScaleOut(kind, now);
    }

    private List<Bin> schedulableBins(double now) {
        List<Bin> bins = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (isSchedulable(machine, now)) {
                bins.add(Bin.of(machine));
            }
        }
        bins.sort(FILLING_ORDER);
        return bins;
    }

    /** Whether a machine takes new work, or will once it has booted. */
    private boolean isSchedulable(Machine machine, double now) {
        if (machine.type() == null || isBeingEvacuated(machine)) {
            return false;
        }
        return switch (machine.state()) {
            case PROVISIONING ->
                    !partitions.contains(machine.zone()) && !overdueBoots.isReplaced(machine);
            // Of a fleet that comes up at once, many have reported and not heard the leader yet.
            case UP ->
                    machine.isSchedulable(now, timeouts.workerLeaseSeconds())
                            || machine.hasJustBooted();
            case LEASE_EXPIRED, TERMINATING, TERMINATED -> false;
        };
    }

    private static boolean isBeingEvacuated(Machine machine) {
        return machine.quarantined() || machine.draining() || machine.hasPreemptionNotice();
    }

    /**
     * Packs what waits of a job. Machines where it failed are no room for it, since it is not
     * placed there: it would wait for ever where they are the only ones with room. Nor are those
     * that are reserved for another job.
     */
    private void pack(Job job, DemandPacking packing, double now) {
        int tasks = slotsNeeded(job, Math.min(job.startable(), tasksWithinQuota(job)));
        Submission spec = job.spec().oneZone() ? inOneZone(job, tasks, packing) : job.spec();
        ZoneCounts tasksPerZone = new ZoneCounts();
        job.attempts().forEach(attempt -> tasksPerZone.add(attempt.machine().zone()));
        PackingRequest request =
                PackingRequest.ofJob(
                        spec, tasks, tasksPerZone, machine -> isExcluded(machine, job, now));
        packing.pack(withEquivalenceClass(job, withPriceBound(job, request)));
    }

    private PackingRequest withPriceBound(Job job, PackingRequest request) {
        return hasGuarantee(job)
                ? request
                : request.withMaxPriceRatio(settings.operator().unguaranteedPriceRatio());
    }

    private PackingRequest withEquivalenceClass(Job job, PackingRequest request) {
        boolean hasOwnRoom = placement.reservations().holders().contains(job);
        return hasOwnRoom
                ? request
                : EquivalenceClass.of(job).map(request::withEquivalenceClass).orElse(request);
    }

    /**
     * For how many waiting tasks room has to be found, so that all of the job's have run within a
     * boot. Tasks that are much shorter than that follow each other in the same room: a machine for
     * each of some ten thousand short tasks would come up when most of them are done.
     */
    private int slotsNeeded(Job job, int waiting) {
        Submission spec = job.spec();
        double bootSeconds = fleet.catalog().slowestBootSeconds();
        boolean isShort =
                spec.estimatedRunSeconds() > 0
                        && spec.estimatedRunSeconds() < SHORT_TASK_BOOTS * bootSeconds;
        if (spec.service() || spec.gang() || !isShort) {
            return waiting;
        }
        int running = job.liveCount();
        double atOnce = (waiting + running) * spec.estimatedRunSeconds() / bootSeconds;
        return Math.max(0, Math.min(waiting, (int) Math.ceil(atOnce) - running));
    }

    private boolean isExcluded(Machine machine, Job job, double now) {
        return job.failures().excludes(machine.name(), now)
                || placement.reservations().reservedFrom(job, machine);
    }

    private int tasksWithinQuota(Job job) {
        return fleet.clusterState().usage(job.spec().team()).roomFor(job.spec());
    }

    /**
     * A job whose tasks have to be together, as if it were allowed only in the zone where they are;
     * if none runs, where most of them find room.
     */
    private static Submission inOneZone(Job job, int tasks, DemandPacking packing) {
        for (TaskAttempt attempt : job.attempts()) {
            String zone = attempt.machine().zone();
            if (!zone.isEmpty()) {
                return job.spec().inZone(zone);
            }
        }
        return packing.inZoneWithMostCapacity(job.spec(), tasks);
    }
}
