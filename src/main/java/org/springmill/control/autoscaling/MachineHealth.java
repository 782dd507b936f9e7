package org.springmill.control.autoscaling;

import java.util.Optional;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;

/** Finds unusable machines by their boot times, heartbeats and responses, and deletes them. */
final class MachineHealth {
    /**
     * Up to this share of the fleet, the size of a rack, may be declared dead together. If the
     * heartbeats of a larger share are overdue, a network partition of this controller or of those
     * machines is more likely.
     */
    static final double CORRELATED_FAILURE_SHARE = 1 / 3.0;

    /**
     * Worker leases to wait for: the worker's own lease, and as long again to find the new leader.
     */
    private static final double LEASES_TO_FIND_LEADER = 2;

    /** Multiplies the boot timeout of machines whose type fails to boot in their zone. */
    private static final double TIMEOUT_FACTOR_IF_BOOTS_FAIL = 2;

    private final Fleet fleet;
    private final UnlistedMachines unlistedMachines;
    private final HeartbeatMonitor heartbeats;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final MachineDeletion deletion;
    private final Settings settings;
    private final Timeouts timeouts;
    private final double startedAt;

    MachineHealth(
            Fleet fleet,
            UnlistedMachines unlistedMachines,
            HeartbeatMonitor heartbeats,
            PartitionedZones partitions,
            OverdueBoots overdueBoots,
            MachineDeletion deletion,
            Settings settings,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.unlistedMachines = unlistedMachines;
        this.heartbeats = heartbeats;
        this.partitions = partitions;
        this.overdueBoots = overdueBoots;
        this.deletion = deletion;
        this.settings = settings;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /** Deletes every unusable machine. */
    void deleteUnusable(double now) {
        boolean fewOverdue = areFewHeartbeatsOverdue(now);
        for (Machine machine : fleet.machinesSnapshot()) {
            reasonToDelete(machine, fewOverdue, now)
                    .ifPresent(reason -> deletion.delete(machine, reason));
        }
    }

    /** Whether no more heartbeats are overdue than the failure of a rack explains. */
    private boolean areFewHeartbeatsOverdue(double now) {
        int up = 0;
        int overdue = 0;
        for (Machine machine : fleet.machines()) {
            if (partitions.contains(machine.zone())) {
                continue;
            }
            if (machine.state() == Machine.State.UP) {
                up++;
            }
            if (heartbeats.isHeartbeatOverdue(machine, now)) {
                overdue++;
            }
        }
        return overdue <= Math.max(1, up * CORRELATED_FAILURE_SHARE);
    }

    private Optional<DeletionReason> reasonToDelete(
            Machine machine, boolean fewOverdue, double now) {
        if (machine.type() == null) {
            return unlistedMachines.reasonToDelete(machine);
        }
        return switch (machine.state()) {
            case PROVISIONING -> reasonToDeleteProvisioning(machine, fewOverdue, now);
            case UP -> reasonToDeleteUp(machine, fewOverdue, now);
            case LEASE_EXPIRED ->
                    machine.attempts().isEmpty()
                            ? Optional.of(DeletionReason.LEASE_EXPIRED)
                            : Optional.empty();
            case TERMINATING, TERMINATED -> Optional.empty();
        };
    }

    private Optional<DeletionReason> reasonToDeleteProvisioning(
            Machine machine, boolean fewOverdue, double now) {
        boolean recentlyPartitioned = partitions.wasRecently(machine.zone(), now);
        if (!recentlyPartitioned && isUnresponsive(machine, fewOverdue, now)) {
            return Optional.of(DeletionReason.UNRESPONSIVE);
        }
        if (!recentlyPartitioned && hasSentNoHeartbeat(machine, now)) {
            return Optional.of(DeletionReason.NO_HEARTBEAT);
        }
        // A stale list may name machines that the previous leader deleted. They never send a
        // heartbeat, and while they count as booting no machine is requested in their place.
        Optional<DeletionReason> reason = unlistedMachines.reasonToDelete(machine);
        if (reason.isEmpty() && hasBootTimedOut(machine, now)) {
            return Optional.of(DeletionReason.BOOT_TIMED_OUT);
        }
        return reason;
    }

    private Optional<DeletionReason> reasonToDeleteUp(
            Machine machine, boolean fewOverdue, double now) {
        if (isUnresponsive(machine, fewOverdue, now)) {
            return Optional.of(DeletionReason.UNRESPONSIVE);
        }
        if (machine.liveness().isRenewalOverdue()) {
            return Optional.of(DeletionReason.HEARTBEATS_LOST);
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
     * Whether a machine must be replaced because it sends no heartbeats and does not respond to
     * commands. Its deletion proves, well before its lease expiry does, that its tasks have ended.
     * If the heartbeats of many listed machines are overdue, this controller or those machines may
     * be partitioned. Their tasks are lost only when their leases expire, which also proves that
     * they have ended; deleting a fleet that was unreachable for 15 s lost all of its tasks.
     */
    private boolean isUnresponsive(Machine machine, boolean fewOverdue, double now) {
        return heartbeats.secondsSinceHeartbeat(machine, now) > timeouts.deadAfterSeconds()
                && machine.areCommandsFailing()
                && !machine.attempts().isEmpty()
                && isSingleMachineFailure(machine, fewOverdue);
    }

    /** Whether missing heartbeats are a failure of the machine and not of the network. */
    private boolean isSingleMachineFailure(Machine machine, boolean fewOverdue) {
        boolean singleFailure = fewOverdue && !partitions.contains(machine.zone());
        return unlistedMachines.contains(machine) || singleFailure;
    }

    /**
     * Whether a machine with claims has had enough time to send this leader a heartbeat. Unless
     * every other controller responds, missing heartbeats do not prove that its tasks have ended;
     * only its deletion does.
     */
    private boolean hasSentNoHeartbeat(Machine machine, double now) {
        return isEstablished(now) && !machine.attempts().isEmpty();
    }

    /**
     * Whether a machine has taken too long to boot. The limit grows with the measured boot times:
     * where boots are slow at present, a new machine would not be ready sooner.
     */
    private boolean hasBootTimedOut(Machine machine, double now) {
        double configuredSeconds =
                machine.type().bootSeconds() * settings.operator().bootTimeoutFactor();
        double measuredSeconds =
                fleet.bootTimes().overdueAfterSeconds(machine.type(), machine.zone());
        double timeoutSeconds =
                overdueBoots.areBootsFailing(machine.type(), machine.zone())
                        ? TIMEOUT_FACTOR_IF_BOOTS_FAIL * configuredSeconds
                        : Math.max(configuredSeconds, measuredSeconds);
        double bootingSince = machine.isBooting() ? machine.rentedAt() : machine.firstSeenAt();
        return now - bootingSince > timeoutSeconds
                && now - machine.firstSeenAt() > timeouts.workerLeaseSeconds();
    }

    /**
     * Whether a machine's heartbeats arrive but it does not receive the responses. Such heartbeats
     * neither renew its lease nor prove that its tasks have ended, but they keep it from being
     * unresponsive. Its tasks were killed at its lease expiry, and only its deletion proves that. A
     * machine that has just reconnected is given time: after a partition all machines of the zone
     * first send an older fencing token.
     */
    private boolean missesLeaderResponses(Machine machine, double now) {
        return isEstablished(now)
                && !partitions.contains(machine.zone())
                && !machine.attempts().isEmpty()
                && machine.missesResponses(now, timeouts.workerLeaseSeconds());
    }

    /** Whether workers of an earlier leader have had enough time to find this one. */
    private boolean isEstablished(double now) {
        double neededSeconds =
                timeouts.renewalLimitAfterTakeoverSeconds()
                        + LEASES_TO_FIND_LEADER * timeouts.workerLeaseSeconds();
        return now - startedAt > neededSeconds;
    }
}
