package org.springmill.control.autoscaling;

import java.util.Optional;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;

/**
 * Judges by boot time, reports and answers which machines are of no more use, and has those
 * deleted.
 */
final class MachineHealth {
    /**
     * This share of the fleet, a rack, may fall silent at once and be taken for dead like single
     * machines. A larger share shows rather that this controller is cut off, or that they are.
     */
    static final double CORRELATED_FAILURE_SHARE = 1 / 3.0;

    /** A worker's own lease, and as much again to find the new leader. */
    private static final double LEASES_TO_FIND_LEADER = 2;

    /** Where none comes up, machines that are late are waited for so much longer. */
    private static final double PATIENCES_IF_BOOTS_FAIL = 2;

    private final Fleet fleet;
    private final MachineListing listing;
    private final HeartbeatSilence silence;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final MachineDeletion deletion;
    private final Settings settings;
    private final Timeouts timeouts;
    private final double startedAt;

    MachineHealth(
            Fleet fleet,
            MachineListing listing,
            HeartbeatSilence silence,
            PartitionedZones partitions,
            OverdueBoots overdueBoots,
            MachineDeletion deletion,
            Settings settings,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.listing = listing;
        this.silence = silence;
        this.partitions = partitions;
        this.overdueBoots = overdueBoots;
        this.deletion = deletion;
        this.settings = settings;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /** Has every machine deleted that is of no more use. */
    void deleteUnusable(double now) {
        boolean fewSilent = areFewSilent(now);
        for (Machine machine : fleet.machinesNow()) {
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
            return isClaimedButUnlisted(machine)
                    ? Optional.of(DeletionReason.CLAIMED_BUT_UNLISTED)
                    : Optional.empty();
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

    /**
     * Whether a machine is known from claims alone: an earlier leader asked for its deletion, and
     * ended before that was committed. Without word from every other controller its silence proves
     * nothing, and it has no address to be asked at; its claims would stand, and their tasks wait,
     * for as long as one controller is away.
     */
    private boolean isClaimedButUnlisted(Machine machine) {
        double listedSeconds = listing.listedAt() - startedAt;
        return !machine.attempts().isEmpty() && listedSeconds > listing.longestLagSeconds();
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
        // A late list names machines that the leader before this one has deleted. They never
        // report, and while they counted as booting nothing was rented in their place.
        if (listing.provesGone(machine)) {
            return Optional.of(DeletionReason.NO_LONGER_LISTED);
        }
        if (isBootOverdue(machine, now)) {
            return Optional.of(DeletionReason.BOOT_TIMED_OUT);
        }
        return Optional.empty();
    }

    private Optional<DeletionReason> reasonToDeleteUp(
            Machine machine, boolean fewSilent, double now) {
        if (isUnresponsive(machine, fewSilent, now)) {
            return Optional.of(DeletionReason.UNRESPONSIVE);
        }
        if (missesLeaderResponses(machine, now)) {
            return Optional.of(DeletionReason.MISSES_LEADER_RESPONSES);
        }
        if (machine.quarantined() && machine.attempts().isEmpty()) {
            return Optional.of(DeletionReason.QUARANTINED);
        }
        if (machine.draining() && machine.attempts().isEmpty()) {
            return Optional.of(DeletionReason.DRAINED);
        }
        return Optional.empty();
    }

    /**
     * Whether a machine is to be replaced for its silence. Deletion proves that what it ran is
     * gone, well before its lease could. Not when many listed machines are silent at once: this
     * controller may be cut off, or they may. What they run is lost only with their leases, and by
     * then their silence proves it; deleting a fleet that was out of reach for 15 s cost it all it
     * ran.
     */
    private boolean isUnresponsive(Machine machine, boolean fewSilent, double now) {
        return silence.silentSeconds(machine, now) > timeouts.deadAfterSeconds()
                && machine.commandsFailing()
                && !machine.attempts().isEmpty()
                && isSingleMachineFailure(machine, fewSilent);
    }

    /** Whether a machine's silence has to do with that machine and not with the network. */
    private boolean isSingleMachineFailure(Machine machine, boolean fewSilent) {
        boolean singleFailure = fewSilent && !partitions.contains(machine.zone());
        return silence.isUnlisted(machine) || singleFailure;
    }

    /**
     * Whether a machine has claims and never reported to this leader. With no word from every other
     * controller its silence proves nothing: only its deletion does.
     */
    private boolean hasSentNoHeartbeat(Machine machine, double now) {
        return isEstablished(now) && !machine.attempts().isEmpty();
    }

    /**
     * Whether a machine is given up. Where machines take long at present, a new one would come up
     * no sooner.
     */
    private boolean isBootOverdue(Machine machine, double now) {
        double nominalSeconds = machine.type().bootSeconds() * settings.operator().bootPatience();
        double measuredSeconds = fleet.bootTimes().lateAfterSeconds(machine.type(), machine.zone());
        double patienceSeconds =
                overdueBoots.areBootsFailing(machine.type(), machine.zone())
                        ? PATIENCES_IF_BOOTS_FAIL * nominalSeconds
                        : Math.max(nominalSeconds, measuredSeconds);
        double since = machine.isBooting() ? machine.rentedAt() : machine.firstSeen();
        return now - since > patienceSeconds
                && now - machine.firstSeen() > timeouts.workerLeaseSeconds();
    }

    /**
     * Whether a machine's reports arrive, and no answer ever does. They renew nothing and prove
     * nothing, and while they come the machine is not silent. What it ran was killed with its
     * lease, and only its deletion proves that. A machine that has only just found its way here is
     * given time to hear: when a partition is over, all machines of the zone come with an older
     * token at first.
     */
    private boolean missesLeaderResponses(Machine machine, double now) {
        return isEstablished(now)
                && !partitions.contains(machine.zone())
                && !machine.attempts().isEmpty()
                && machine.missesResponses(now, timeouts.workerLeaseSeconds());
    }

    /**
     * Whether a worker that obeyed an earlier leader has had more than its lease to find this one.
     */
    private boolean isEstablished(double now) {
        double neededSeconds =
                timeouts.followerRenewalLimitSeconds()
                        + LEASES_TO_FIND_LEADER * timeouts.workerLeaseSeconds();
        return now - startedAt > neededSeconds;
    }
}
