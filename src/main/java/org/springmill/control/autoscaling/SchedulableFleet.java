package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;

/**
 * The fleet as input for the packing of demand: the free resources of machines that accept tasks
 * now or after their boot, and the kinds of machines that may be requested at present.
 */
final class SchedulableFleet {
    /**
     * Fullest first among machines of equal activity and price, so that others stay empty and can
     * be deleted.
     */
    private static final Comparator<Bin> FILLING_ORDER =
            Comparator.comparing(Bin::activity)
                    .thenComparingDouble(bin -> bin.kind().type().price())
                    .thenComparingDouble(Bin::freeShare);

    private final Fleet fleet;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final ScaleOutRequests scaleOutRequests;
    private final Settings settings;
    private final Timeouts timeouts;

    SchedulableFleet(
            Fleet fleet,
            PartitionedZones partitions,
            OverdueBoots overdueBoots,
            ScaleOutRequests scaleOutRequests,
            Settings settings,
            Timeouts timeouts) {
        this.fleet = fleet;
        this.partitions = partitions;
        this.overdueBoots = overdueBoots;
        this.scaleOutRequests = scaleOutRequests;
        this.settings = settings;
        this.timeouts = timeouts;
    }

    /** Returns a packing into the current free resources. */
    DemandPacking packing(double now) {
        ZoneCounts machinesPerZone = new ZoneCounts();
        fleet.machines().forEach(machine -> machinesPerZone.add(machine.zone()));
        return new DemandPacking(
                fleet.catalog().all(),
                settings.zones(),
                kind -> isAvailable(kind, now),
                overdueBoots::areBootsFailing,
                machinesPerZone,
                bins(now));
    }

    private boolean isAvailable(MachineKind kind, double now) {
        return !partitions.contains(kind.zone())
                && !scaleOutRequests.isRefused(kind, now)
                && overdueBoots.mayScaleOut(kind, now);
    }

    private List<Bin> bins(double now) {
        List<Bin> bins = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (isSchedulable(machine, now)) {
                bins.add(Bin.of(machine));
            }
        }
        bins.sort(FILLING_ORDER);
        return bins;
    }

    /** Whether a machine accepts new tasks now or after its boot. */
    private boolean isSchedulable(Machine machine, double now) {
        if (machine.type() == null || isBeingEvacuated(machine)) {
            return false;
        }
        return switch (machine.state()) {
            case PROVISIONING ->
                    !partitions.contains(machine.zone()) && !overdueBoots.isReplaced(machine);
            // When a whole fleet boots, many machines have sent a heartbeat but lack its response.
            case UP ->
                    machine.isSchedulable(now, timeouts.workerLeaseSeconds())
                            || machine.hasJustBooted();
            case LEASE_EXPIRED, TERMINATING, TERMINATED -> false;
        };
    }

    private static boolean isBeingEvacuated(Machine machine) {
        return machine.isQuarantined() || machine.isDraining() || machine.hasPreemptionNotice();
    }
}
