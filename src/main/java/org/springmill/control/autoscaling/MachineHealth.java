package org.springmill.control.autoscaling;

import java.util.Optional;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;

/**
 * Decides by boot time, heartbeats and responses which machines are unusable, and has those
 * deleted.
 */
final class MachineHealth {
    /**
     * This share of the fleet, a rack, may fall silent at once and be declared dead like single
     * machines. A larger share rather shows a network partition of this controller or of them.
     */
    static final double CORRELATED_FAILURE_SHARE = 1 / 3.0;

    /** A worker's own lease, and as much again to find the new leader. */
    private static final double LEASES_TO_FIND_LEADER = 2;

    /** Where boots fail in every zone, overdue machines get so many times the patience. */
    private static final double PATIENCES_IF_BOOTS_FAIL = 2;

    private final Fleet fleet;
    private final UnlistedMachines unlistedMachines;
    private final HeartbeatSilence silence;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final MachineDeletion deletion;
    private final Settings settings;
    private final Timeouts timeouts;
    private final double startedAt;

    MachineHealth(
            Fleet fleet,
            UnlistedMachines unlistedMachines,
            HeartbeatSilence silence,
            PartitionedZones partitions,
            OverdueBoots overdueBoots,
            MachineDeletion deletion,
            Settings settings,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.unlistedMachines = unlistedMachines;
        this.silence = silence;
        this.partitions = partitions;
        this.overdueBoots = overdueBoots;
        this.deletion = deletion;
        this.settings = settings;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /** Has every unusable machine deleted. */
    void deleteUnusable(double now) {
        boolean fewSilent = areFewSilent(now);
        for (Machine machine : fleet.machinesSnapshot()) {
            reasonToDelete(machine, fewSilent, now)
                    .ifPresent(reason -> deletion.delete(machine, reason));
        }
    }

    /** Whether no more machines are silent at once than a rack holds. */
    private boolean areFewSilent(double now) {
        int up = 0;
        int silent = 0;
        for (Machine machine : fleet.machines()) {
            if (partitions.contains(machine.zone())) {
                continue;
            }
            if (machine.state() == Machine.State.UP) {
                up++;
            }
            if (silence.isHeartbeatOverdue(machine, now)) {
                silent++;
            }
        }
        return silent <= Math.max(1, up * CORRELATED_FAILURE_SHARE);
    }

    private Optional<DeletionReason> reasonToDelete(
            Machine machine, boolean fewSilent, double now) {
        if (machine.type() == null) {
            return unlistedMachines.reasonToDelete(machine);
        }
        return switch (machine.state()) {
            case PROVISIONING -> reasonToDeleteProvisioning(machine, fewSilent, now);
            case UP -> reasonToDeleteUp(machine, fewSilent, now);
            case LEASE_EXPIRED ->
                    machine.attempts().isEmpty()
                            ? Optional.of(DeletionReason.LEASE_EXPIRED)
                            : Optional.empty();
            case TERMINATING, TERMINATED -> Optional.empty();
        };
    }

    private Optional<DeletionReason> reasonToDeleteProvisioning(
            Machine machine, boolean fewSilent, double now) {
        boolean partitionedLately = partitions.wasRecently(machine.zone(), now);
        if (!partitionedLately && isUnresponsive(machine, fewSilent, now)) {
            return Optional.of(DeletionReason.UNRESPONSIVE);
        }
        if (!partitionedLately && hasSentNoHeartbeat(machine, now)) {
            return Optional.of(DeletionReason.NO_HEARTBEAT);
        }
        // A stale list names machines that the previous leader has deleted. They never send a
        // heartbeat, and while they counted as booting no machine was requested in their place.
        Optional<DeletionReason> reason = unlistedMachines.reasonToDelete(machine);
        if (reason.isEmpty() && hasBootTimedOut(machine, now)) {
            return Optional.of(DeletionReason.BOOT_TIMED_OUT);
        }
        return reason;
    }

    private Optional<DeletionReason> reasonToDeleteUp(
            Machine machine, boolean fewSilent, double now) {
        if (isUnresponsive(machine, fewSilent, now)) {
            return Optional.of(DeletionReason.UNRESPONSIVE);
        }
        if (missesLeaderResponses(machine, now)) {
            return Optional.of(DeletionReason.MISSES_LEADER_RESPONSES);
        }
        if (machine.isQuarantined() && machine.attempts().isEmpty()) {
            return Optional.of(DeletionReason.QUARANTINED);
        }
        if (machine.isDraining() && machine.attempts().isEmpty()) {
            return Optional.of(DeletionReason.DRAINED);
        }
        return Optional.empty();
    }

    /**
     * Whether a machine is to be replaced for its silence. Its deletion proves that its tasks have
     * ended, well before its lease expiry could. Not when many listed machines are silent at once:
     * this controller or they may be partitioned. Their tasks are lost only when their leases
     * expire, and by then their silence proves it; deleting a fleet that was unreachable for 15 s
     * cost it all its tasks.
     */
    private boolean isUnresponsive(Machine machine, boolean fewSilent, double now) {
        return silence.silentSeconds(machine, now) > timeouts.deadAfterSeconds()
                && machine.areCommandsFailing()
                && !machine.attempts().isEmpty()
                && isSingleMachineFailure(machine, fewSilent);
    }

    /** Whether a machine's silence is a failure of that machine and not of the network. */
    private boolean isSingleMachineFailure(Machine machine, boolean fewSilent) {
        boolean singleFailure = fewSilent && !partitions.contains(machine.zone());
        return unlistedMachines.contains(machine) || singleFailure;
    }

    /**
     * Whether a machine has claims and sent this leader no heartbeat. Without responses of every
     * other controller its silence proves nothing: only its deletion does.
     */
    private boolean hasSentNoHeartbeat(Machine machine, double now) {
        return isEstablished(now) && !machine.attempts().isEmpty();
    }

    /**
     * Whether a machine has taken too long to boot. Where boots take long at present, a new machine
     * would be ready no sooner.
     */
    private boolean hasBootTimedOut(Machine machine, double now) {
        double nominalSeconds = machine.type().bootSeconds() * settings.operator().bootPatience();
        double measuredSeconds =
                fleet.bootTimes().overdueAfterSeconds(machine.type(), machine.zone());
        double patienceSeconds =
                overdueBoots.areBootsFailing(machine.type(), machine.zone())
                        ? PATIENCES_IF_BOOTS_FAIL * nominalSeconds
                        : Math.max(nominalSeconds, measuredSeconds);
        double since = machine.isBooting() ? machine.rentedAt() : machine.firstSeenAt();
        return now - since > patienceSeconds
                && now - machine.firstSeenAt() > timeouts.workerLeaseSeconds();
    }

    /**
     * Whether a machine's heartbeats arrive, and none of the responses to them. Such heartbeats
     * renew and prove nothing, and while they arrive the machine is not silent. Its tasks were
     * killed at its lease expiry, and only its deletion proves that. A machine that has only just
     * connected is given time: when a partition is over, all machines of the zone come with an
     * older fencing token at first.
     */
    private boolean missesLeaderResponses(Machine machine, double now) {
        return isEstablished(now)
                && !partitions.contains(machine.zone())
                && !machine.attempts().isEmpty()
                && machine.missesResponses(now, timeouts.workerLeaseSeconds());
    }

    /** Whether workers of an earlier leader have had more than their lease to find this one. */
    private boolean isEstablished(double now) {
        double neededSeconds =
                timeouts.followerRenewalLimitSeconds()
                        + LEASES_TO_FIND_LEADER * timeouts.workerLeaseSeconds();
        return now - startedAt > neededSeconds;
    }
}
