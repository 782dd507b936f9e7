package org.springmill.control.workers;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;

/**
 * Decides when the lease of a worker has expired, whichever controller renewed it last: claim 6.3
 * of docs/design.md, which section 7 proves. Times are seconds of the leader's steady clock.
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

    /** Records that a quorum of controllers knows this term by now, if it does. */
    void observeQuorum(double now) {
        if (quorumKnewTermAt == Double.POSITIVE_INFINITY && peers.quorumKnows(fleet.term())) {
            quorumKnewTermAt = now;
        }
    }

    /**
     * When the last lease expires that any controller may have granted to a machine's worker.
     *
     * @param peersMayRenewUntil until when other controllers may renew leases
     */
    double expiresAt(Machine machine, double peersMayRenewUntil) {
        double lastRenewal = Math.max(machine.lastHeartbeatAnsweredAt(), peersMayRenewUntil);
        double lastUnderEarlierTerm =
                Math.min(machine.workerEpoch().currentTermSeenAt(), earlierLeaderMayRenewUntil());
        return Math.max(lastRenewal, lastUnderEarlierTerm) + timeouts.workerLeaseSeconds();
    }

    /**
     * Until when an earlier leader may have renewed leases. A worker may obey it until it has seen
     * this term's fencing token, and the earlier leader's last response is not known here: a worker
     * that showed the token and then fell silent has its full lease from then on. An earlier leader
     * whose outage a quorum confirms may go on until a quorum knows this term.
     */
    private double earlierLeaderMayRenewUntil() {
        double afterTakeover = tookOverAt + timeouts.followerRenewalLimitSeconds();
        double afterQuorumKnew =
                quorumKnewTermAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return Math.max(afterTakeover, afterQuorumKnew);
    }
}
