package org.springmill.control.autoscaling;

import java.util.function.Predicate;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.HeartbeatSize;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * The free resources of one existing or planned machine, for bin packing. Packing a task here does
 * not change what is allocated on the machine.
 */
final class Bin {
    /** What a machine is doing, in the order in which bins are filled. */
    enum Activity {
        RUNNING_TASKS,
        IDLE,
        BOOTING
    }

    private final MachineKind kind;

    /** Null for a planned machine. */
    private final Machine machine;

    private Resources free;
    private boolean used;

    /** Resources packed here for tasks that are expected to arrive. */
    private Resources expected = Resources.NONE;

    private Bin(MachineKind kind, Machine machine, Resources free) {
        this.kind = kind;
        this.machine = machine;
        this.free = free;
    }

    /** Creates a bin with the free resources of a machine of known type. */
    static Bin of(Machine machine) {
        return new Bin(
                new MachineKind(machine.type(), machine.zone(), machine.spot()),
                machine,
                machine.free());
    }

    /** Creates the bin of an empty machine that would have to be requested. */
    static Bin planned(MachineKind kind) {
        return new Bin(kind, null, kind.type().capacity());
    }

    /** Returns a copy with the same free resources; packing into it does not change this bin. */
    Bin copy() {
        Bin copy = new Bin(kind, machine, free);
        copy.used = used;
        return copy;
    }

    MachineKind kind() {
        return kind;
    }

    /** Null if {@link #isPlanned}. */
    Machine machine() {
        return machine;
    }

    /** Whether the machine would have to be requested. */
    boolean isPlanned() {
        return machine == null;
    }

    /** Records that a task packed here is expected and has not arrived yet. */
    void recordExpected(Submission spec) {
        expected = expected.plus(spec);
    }

    /** Resources packed here for tasks that are expected to arrive. */
    Resources expected() {
        return expected;
    }

    /** Whether anything was packed here. */
    boolean isUsed() {
        return used;
    }

    /** What the machine is doing. Must not be called for a planned machine. */
    Activity activity() {
        if (machine.state() != Machine.State.UP) {
            return Activity.BOOTING;
        }
        return machine.attempts().isEmpty() ? Activity.IDLE : Activity.RUNNING_TASKS;
    }

    /** The free share of the machine's scarcest resource. */
    double freeShare() {
        MachineType type = kind.type();
        double share = Math.min(free.cpus() / type.cpus(), free.memoryGb() / type.memoryGb());
        return type.gpus() == 0 ? share : Math.min(share, free.gpus() / type.gpus());
    }

    /** Hourly cost of the free share of the machine. */
    double freeCost() {
        return kind.price() * freeShare();
    }

    /** How many of a job's tasks fit here, ignoring the job's limit per zone. */
    int capacityFor(Submission spec) {
        if (!isAllowedFor(spec)) {
            return 0;
        }
        double byCpus = capacityFor(free.cpus(), spec.cpus(), spec.tasks());
        double byGpus = capacityFor(free.gpus(), spec.gpus(), spec.tasks());
        double byMemory = capacityFor(free.memoryGb(), spec.memoryGb(), spec.tasks());
        double byHeartbeat =
                capacityFor(free.heartbeatBytes(), HeartbeatSize.maxBytes(spec), spec.tasks());
        double tasks = Math.min(Math.min(byCpus, byGpus), Math.min(byMemory, byHeartbeat));
        return (int) Math.max(0, Math.min(spec.tasks(), tasks));
    }

    private static double capacityFor(double free, double each, int tasks) {
        return each == 0 ? tasks : (free + Resources.ROUNDING) / each;
    }

    /**
     * Packs one task here if it fits and the job may have one more task in this zone.
     *
     * @param tasksPerZone the job's tasks so far; the packed one is added
     * @return whether it was packed
     */
    boolean pack(Submission spec, ZoneCounts tasksPerZone) {
        boolean zoneIsOpen = tasksPerZone.count(kind.zone()) < spec.maxTasksPerZone();
        if (!isAllowedFor(spec) || !fits(spec) || !zoneIsOpen) {
            return false;
        }
        free = free.minus(Resources.of(spec));
        used = true;
        tasksPerZone.add(kind.zone());
        return true;
    }

    /** Whether this is an existing machine that matches the condition. */
    boolean isExcluded(Predicate<Machine> excluded) {
        return machine != null && excluded.test(machine);
    }

    private boolean isAllowedFor(Submission spec) {
        boolean spotAllowed = !kind.spot() || spec.spot();
        boolean zoneAllowed = spec.zone() == null || spec.zone().equals(kind.zone());
        return kind.type().fits(spec) && spotAllowed && zoneAllowed;
    }

    private boolean fits(Submission spec) {
        return free.canFit(spec);
    }
}
