package org.springmill.control.workers;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;
import org.springmill.control.workers.LeaseGrant.Kind;

/**
 * Decides when the lease of a worker has expired, whichever controller renewed it last (claim 6.3
 * of docs/design.md, proven in section 7). Times are seconds on the leader's steady clock.
 */
final class WorkerLeases {
    private final Fleet fleet;
    private final Timeouts timeouts;
    private final Peers peers;
    private final double tookOverAt;

    /** When a quorum of controllers was first seen to know this term. */
    private double quorumKnewTermAt = Double.POSITIVE_INFINITY;

    WorkerLeases(Fleet fleet, Timeouts timeouts, Peers peers) {
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.peers = peers;
        tookOverAt = fleet.now();
    }

    /** Records the time from which a quorum of controllers is known to know this term. */
    void observeQuorum(double now) {
        if (quorumKnewTermAt == Double.POSITIVE_INFINITY && peers.quorumKnows(fleet.term())) {
            quorumKnewTermAt = now;
        }
    }

    /** When the lease of a worker that began with a grant expires at the latest. */
    double expiresAt(LeaseGrant grant) {
        return grant.at() + timeouts.workerLeaseSeconds();
    }

    /**
     * The latest event from which the lease of a machine's worker may run, whichever controller
     * renewed it last. Each epoch also begins with a lease that no controller grants.
     *
     * @param peersMayRenewUntil time until which other controllers may renew leases
     */
    LeaseGrant latestGrant(Machine machine, double peersMayRenewUntil) {
        return new LeaseGrant(Kind.HEARTBEAT_ANSWERED, machine.liveness().lastAnsweredAt())
                .latest(new LeaseGrant(Kind.RENEWED_BY_PEER, peersMayRenewUntil))
                .latest(
                        new LeaseGrant(
                                Kind.RENEWED_BY_EARLIER_LEADER,
                                lastRenewalByEarlierLeader(machine)))
                .latest(new LeaseGrant(Kind.EPOCH_FIRST_SEEN, machine.workerEpoch().epochSeenAt()));
    }

    /**
     * Whether no controller can have renewed the lease of a machine's worker for its whole duration
     * since the worker first showed a token of this term. The lease with which its present epoch
     * began may still be valid.
     */
    boolean isRenewalOverdue(Machine machine, double peersMayRenewUntil, double now) {
        double lastRenewal = Math.max(machine.liveness().lastAnsweredAt(), peersMayRenewUntil);
        double countedFrom = Math.max(lastRenewal, machine.workerEpoch().currentTermSeenAt());
        return now > countedFrom + timeouts.workerLeaseSeconds();
    }

    private double lastRenewalByEarlierLeader(Machine machine) {
        // A worker accepts responses of an earlier leader until it has seen this term's fencing
        // token. When it got the last of them is not known here, so the lease is taken to have been
        // renewed as late as the heartbeat that first showed the token.
        return Math.min(machine.workerEpoch().currentTermSeenAt(), earlierLeaderMayRenewUntil());
    }

    /**
     * The latest time at which an earlier leader may have renewed leases. Its own lease and grace
     * period are over at {@code afterTakeover}. While a quorum confirms to it that the key-value
     * store is unreachable, it may continue until a quorum knows this term and the last
     * confirmations have expired. That is {@code afterQuorumKnew}, which is infinite until a quorum
     * knows this term.
     */
    private double earlierLeaderMayRenewUntil() {
        double afterTakeover = tookOverAt + timeouts.renewalLimitAfterTakeoverSeconds();
        double afterQuorumKnew =
                quorumKnewTermAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return Math.max(afterTakeover, afterQuorumKnew);
    }
}
