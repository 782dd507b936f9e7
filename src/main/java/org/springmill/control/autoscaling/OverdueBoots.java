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
 * Which booting machines are late, and for how many of them others are rented meanwhile.
 *
 * <p>A single machine that is late is replaced at once. Where several of a type are, and none that
 * was rented as late as the first of them has come up in a zone, boots of the type fail in that
 * zone: other zones come first, and one machine at a time is tried there until one comes up. Where
 * they fail in every zone, only a part of the late ones is replaced at a time, so that a general
 * delay does not have everything rented twice.
 */
final class OverdueBoots {
    /** Fewer machines of a type that are late at once say nothing of others. */
    private static final int MIN_OVERDUE_TO_FAIL = 2;

    /** This part of the late machines is replaced at a time while boots fail in every zone. */
    private static final double REPLACED_SHARE = 0.25;

    /** Part of a boot between two machines that are tried where none comes up. */
    private static final double TRIAL_INTERVAL_BOOTS = 0.25;

    private final Fleet fleet;
    private final PartitionedZones partitions;
    private final Timeouts timeouts;

    /** The late machines of each type, the earliest rented first. */
    private final Map<MachineType, List<Machine>> overdueByType = new HashMap<>();

    /** How many machines boot and are not late, by type and zone. */
    private final Map<String, Integer> booting = new HashMap<>();

    /** When the last machine was rented, by type and zone. */
    private final Map<String, Double> lastRented = new HashMap<>();

    /** When the last machine that has come up was rented, by type and zone. */
    private final Map<String, Double> lastRentedOfThoseUp = new HashMap<>();

    private final Set<Machine> replaced = new HashSet<>();

    OverdueBoots(Fleet fleet, PartitionedZones partitions, Timeouts timeouts) {
        this.fleet = fleet;
        this.partitions = partitions;
        this.timeouts = timeouts;
    }

    /** Looks at all machines as they are now. */
    void update(double now) {
        overdueByType.clear();
        booting.clear();
        lastRented.clear();
        lastRentedOfThoseUp.clear();
        replaced.clear();
        for (Machine machine : fleet.machines()) {
            if (machine.type() != null) {
                classify(machine, now);
            }
        }
        overdueByType
                .values()
                .forEach(some -> some.sort(Comparator.comparingDouble(Machine::rentedAt)));
        overdueByType.values().forEach(this::chooseReplaced);
    }

    private void classify(Machine machine, double now) {
        String key = key(machine);
        lastRented.merge(key, machine.rentedAt(), Math::max);
        if (machine.state() == Machine.State.UP) {
            lastRentedOfThoseUp.merge(key, machine.rentedAt(), Math::max);
        } else if (machine.isBooting() && isOverdue(machine, now)) {
            overdueByType.computeIfAbsent(machine.type(), type -> new ArrayList<>()).add(machine);
        } else if (machine.isBooting()) {
            booting.merge(key, 1, Integer::sum);
        }
    }

    private static String key(Machine machine) {
        return BootTimes.key(machine.type(), machine.zone());
    }

    /** A machine of which a list has just told may be up, and its worker on the way to here. */
    private boolean isOverdue(Machine machine, double now) {
        double patience = fleet.bootTimes().lateAfterSeconds(machine.type(), machine.zone());
        return !partitions.contains(machine.zone())
                && now - machine.firstSeen() > timeouts.workerLeaseSeconds()
                && now - machine.rentedAt() > patience;
    }

    private void chooseReplaced(List<Machine> lateOfType) {
        MachineType type = lateOfType.get(0).type();
        boolean failsEverywhere =
                type.zones().stream().allMatch(zone -> areBootsFailing(type, zone));
        int most =
                failsEverywhere
                        ? (int) Math.ceil(REPLACED_SHARE * lateOfType.size())
                        : lateOfType.size();
        replaced.addAll(lateOfType.subList(0, most));
    }

    /** Whether machines of a type do not come up in a zone at present. */
    boolean areBootsFailing(MachineType type, String zone) {
        List<Machine> lateOfType = overdueByType.get(type);
        if (lateOfType == null || lateOfType.size() < MIN_OVERDUE_TO_FAIL) {
            return false;
        }
        double lastRented =
                lastRentedOfThoseUp.getOrDefault(
                        BootTimes.key(type, zone), Double.NEGATIVE_INFINITY);
        return lastRented < lateOfType.get(0).rentedAt();
    }

    /** Whether machines of a kind do not come up at present. */
    boolean areBootsFailing(MachineKind kind) {
        return areBootsFailing(kind.type(), kind.zone());
    }

    /**
     * Whether one more machine may be rented, going by whether others of its type come up. While
     * they do not, one is tried now and then, the more seldom the more are being tried.
     */
    boolean mayScaleOut(MachineKind kind, double now) {
        if (!areBootsFailing(kind)) {
            return true;
        }
        String key = BootTimes.key(kind.type(), kind.zone());
        double interval =
                TRIAL_INTERVAL_BOOTS
                        * kind.type().bootSeconds()
                        * (1 + booting.getOrDefault(key, 0));
        return now - lastRented.getOrDefault(key, Double.NEGATIVE_INFINITY) > interval;
    }

    /** How many machines of a kind may be rented at a time. */
    int maxPerRequest(MachineKind kind) {
        return areBootsFailing(kind) ? 1 : Integer.MAX_VALUE;
    }

    /** Whether a machine is no longer counted on, so that another one is rented in its place. */
    boolean isReplaced(Machine machine) {
        return replaced.contains(machine);
    }

    /** The machines that are no longer counted on. */
    Set<Machine> replaced() {
        return replaced;
    }

    /** How many machines are late. */
    int count() {
        return overdueByType.values().stream().mapToInt(List::size).sum();
    }
}
