package org.springmill.control.autoscaling;

import java.util.List;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Settings;

/**
 * Scales in: deletes machines that have been idle for some time and that no expected task needs,
 * and overdue machines whose replacements were ready first.
 */
final class IdleMachines {
    /** The cloud charges at least this much time for a machine. */
    private static final double MIN_CHARGED_SECONDS = 60;

    private final MachineDeletion deletion;
    private final OverdueBoots overdueBoots;
    private final Settings settings;

    IdleMachines(MachineDeletion deletion, OverdueBoots overdueBoots, Settings settings) {
        this.deletion = deletion;
        this.overdueBoots = overdueBoots;
        this.settings = settings;
    }

    /**
     * Deletes the machines that the fleet no longer needs.
     *
     * @param bins the free resources of the fleet after packing all waiting and expected tasks
     */
    void delete(List<Bin> bins, double now) {
        for (Bin bin : bins) {
            if (!bin.isPlanned() && !bin.isUsed() && isIdleForLong(bin.machine(), now)) {
                deletion.delete(bin.machine(), DeletionReason.IDLE);
            }
        }
        if (bins.stream().noneMatch(IdleMachines::isAwaitedByTasks)) {
            overdueBoots
                    .replaced()
                    .forEach(machine -> deletion.delete(machine, DeletionReason.BOOT_OVERDUE));
        }
    }

    /** Whether tasks were packed into a machine that is not ready yet. */
    private static boolean isAwaitedByTasks(Bin bin) {
        return bin.isUsed() && (bin.isPlanned() || bin.activity() == Bin.Activity.BOOTING);
    }

    private boolean isIdleForLong(Machine machine, double now) {
        if (!isIdle(machine)) {
            return false;
        }
        double maxIdleSeconds =
                settings.operator().idleTimeoutFactor() * machine.type().bootSeconds();
        return now - machine.idleSince() >= maxIdleSeconds
                && now - machine.firstSeenAt() >= MIN_CHARGED_SECONDS;
    }

    private static boolean isIdle(Machine machine) {
        return machine.state() == Machine.State.UP
                && machine.attempts().isEmpty()
                && machine.reportedTasks().isEmpty();
    }
}
