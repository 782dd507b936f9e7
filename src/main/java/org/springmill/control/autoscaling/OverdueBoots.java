package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.control.cluster.BootTimes;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages.MachineType;

/**
 * Finds the booting machines that are overdue and decides how many of them to replace.
 *
 * <p>A single overdue machine is replaced immediately. Boots of a type count as failing in a zone
 * if several machines of the type are overdue and none that was requested in that zone at the same
 * time as the first of them, or later, is ready. Other zones are then preferred, and one machine at
 * a time is requested in that zone until one is ready. If boots fail in every zone, only a share of
 * the overdue machines is replaced at a time, so that a general delay does not cause every machine
 * to be requested twice.
 */
final class OverdueBoots {
    /** With fewer overdue machines of a type, its boots do not count as failing. */
    private static final int MIN_OVERDUE_TO_FAIL = 2;

    /** Share of the overdue machines that is replaced at a time while boots fail in every zone. */
    private static final double REPLACED_SHARE = 0.25;

    /** Interval between trial requests in boot times, while boots fail in a zone. */
    private static final double TRIAL_INTERVAL_BOOTS = 0.25;

    private final Fleet fleet;
    private final PartitionedZones partitions;
    private final Timeouts timeouts;

    /** The boots of each type in each zone, by {@link BootTimes#key}. */
    private Map<String, BootHistory> boots = Map.of();

    /**
     * The overdue machines of each type, the earliest requested first. This map and {@link
     * #replaced} are cleared instead of created again: the iteration order depends on the capacity
     * that a collection has grown to, and deletions follow the iteration order.
     */
    private final Map<MachineType, List<Machine>> overdueByType = new HashMap<>();

    private final Set<Machine> replaced = new HashSet<>();

    /**
     * The boots of one type in one zone.
     *
     * @param inTime the number of booting machines that are not overdue
     * @param lastRequestedAt when the last machine was requested, in seconds
     * @param lastReadyRequestedAt when the last of those that are ready was requested, in seconds
     */
    private record BootHistory(int inTime, double lastRequestedAt, double lastReadyRequestedAt) {
        private static final BootHistory NONE =
                new BootHistory(0, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY);

        static BootHistory ofReady(Machine machine) {
            return new BootHistory(0, machine.rentedAt(), machine.rentedAt());
        }

        static BootHistory ofBooting(Machine machine) {
            return new BootHistory(1, machine.rentedAt(), Double.NEGATIVE_INFINITY);
        }

        static BootHistory ofOther(Machine machine) {
            return new BootHistory(0, machine.rentedAt(), Double.NEGATIVE_INFINITY);
        }

        BootHistory plus(BootHistory other) {
            return new BootHistory(
                    inTime + other.inTime,
                    Math.max(lastRequestedAt, other.lastRequestedAt),
                    Math.max(lastReadyRequestedAt, other.lastReadyRequestedAt));
        }
    }

    OverdueBoots(Fleet fleet, PartitionedZones partitions, Timeouts timeouts) {
        this.fleet = fleet;
        this.partitions = partitions;
        this.timeouts = timeouts;
    }

    /** Classifies all machines by their current state. */
    void update(double now) {
        Map<String, BootHistory> found = new HashMap<>();
        overdueByType.clear();
        replaced.clear();
        for (Machine machine : fleet.machines()) {
            if (machine.type() != null) {
                String key = BootTimes.key(machine.type(), machine.zone());
                found.merge(key, classify(machine, now), BootHistory::plus);
            }
        }
        boots = found;
        overdueByType
                .values()
                .forEach(ofType -> ofType.sort(Comparator.comparingDouble(Machine::rentedAt)));
        overdueByType.values().forEach(this::chooseReplaced);
    }

    /** Returns what the machine adds to the boots of its type and zone; records it if overdue. */
    private BootHistory classify(Machine machine, double now) {
        if (machine.state() == Machine.State.UP) {
            return BootHistory.ofReady(machine);
        }
        if (!machine.isBooting()) {
            return BootHistory.ofOther(machine);
        }
        if (!isOverdue(machine, now)) {
            return BootHistory.ofBooting(machine);
        }
        overdueByType.computeIfAbsent(machine.type(), type -> new ArrayList<>()).add(machine);
        return BootHistory.ofOther(machine);
    }

    /**
     * A machine that was listed only just now may be ready, with its first heartbeat in transit.
     */
    private boolean isOverdue(Machine machine, double now) {
        double overdueAfterSeconds =
                fleet.bootTimes().overdueAfterSeconds(machine.type(), machine.zone());
        return !partitions.contains(machine.zone())
                && now - machine.firstSeenAt() > timeouts.workerLeaseSeconds()
                && now - machine.rentedAt() > overdueAfterSeconds;
    }

    private void chooseReplaced(List<Machine> overdueOfType) {
        MachineType type = overdueOfType.get(0).type();
        boolean failEverywhere =
                type.zones().stream().allMatch(zone -> areBootsFailing(type, zone));
        int count =
                failEverywhere
                        ? (int) Math.ceil(REPLACED_SHARE * overdueOfType.size())
                        : overdueOfType.size();
        replaced.addAll(overdueOfType.subList(0, count));
    }

    /** Whether machines of a type fail to boot in a zone at present. */
    boolean areBootsFailing(MachineType type, String zone) {
        List<Machine> overdueOfType = overdueByType.get(type);
        if (overdueOfType == null || overdueOfType.size() < MIN_OVERDUE_TO_FAIL) {
            return false;
        }
        double firstOverdueRequestedAt = overdueOfType.get(0).rentedAt();
        return boots(type, zone).lastReadyRequestedAt() < firstOverdueRequestedAt;
    }

    /** Whether machines of a kind fail to boot at present. */
    boolean areBootsFailing(MachineKind kind) {
        return areBootsFailing(kind.type(), kind.zone());
    }

    private BootHistory boots(MachineType type, String zone) {
        return boots.getOrDefault(BootTimes.key(type, zone), BootHistory.NONE);
    }

    /**
     * Whether another machine of a kind may be requested. While boots of the kind fail, trial
     * requests are spaced out, with longer intervals the more machines are already booting.
     */
    boolean mayScaleOut(MachineKind kind, double now) {
        if (!areBootsFailing(kind)) {
            return true;
        }
        BootHistory ofKind = boots(kind.type(), kind.zone());
        double intervalSeconds =
                TRIAL_INTERVAL_BOOTS * kind.type().bootSeconds() * (1 + ofKind.inTime());
        return now - ofKind.lastRequestedAt() > intervalSeconds;
    }

    /** How many machines of a kind may be requested at a time. */
    int maxPerRequest(MachineKind kind) {
        return areBootsFailing(kind) ? 1 : Integer.MAX_VALUE;
    }

    /**
     * Whether a machine no longer counts as future capacity, so that a replacement is requested.
     */
    boolean isReplaced(Machine machine) {
        return replaced.contains(machine);
    }

    /** The machines that no longer count as future capacity. */
    Set<Machine> replaced() {
        return replaced;
    }

    /** How many machines are overdue. */
    int count() {
        return overdueByType.values().stream().mapToInt(List::size).sum();
    }
}
