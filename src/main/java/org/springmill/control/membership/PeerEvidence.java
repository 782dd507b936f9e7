package org.springmill.control.membership;

import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/**
 * What this controller may conclude from the status of its peers, and what it has itself confirmed
 * to them: terms, outages of the key-value store, and who may renew workers' leases until when.
 */
final class PeerEvidence {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final EventLoop loop;
    private final Timeouts timeouts;
    private final PeerConfirmations confirmations;

    /** When this controller last confirmed an outage, or renewed a worker's lease as a follower. */
    private double lastConfirmationAt;

    private double lastLeaderHeardAt;
    private double lastHeardAt;
    private double renewsForNewLeaderUntil = Double.NEGATIVE_INFINITY;
    private long highestTerm;

    /**
     * @param nodes all other controllers
     */
    PeerEvidence(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        confirmations = new PeerConfirmations(loop, timeouts, nodes);
        // An earlier process of this node may have confirmed an outage until just now.
        lastConfirmationAt = loop.now();
        lastLeaderHeardAt = loop.now();
        lastHeardAt = loop.now();
    }

    /** The answers of the peers. */
    PeerConfirmations confirmations() {
        return confirmations;
    }

    /** Notes a status that came, be it a question or an answer. */
    void statusReceived(PeerStatus status) {
        if (status.term() > highestTerm) {
            highestTerm = status.term();
            renewsForNewLeaderUntil = loop.now() + timeouts.newLeaderKeepaliveSeconds();
        }
        lastHeardAt = loop.now();
        if (status.leading()) {
            lastLeaderHeardAt = loop.now();
        }
    }

    /**
     * Notes that the process was paused: it may have missed every answer, and what was confirmed to
     * it before counts no longer.
     */
    void resumed(double resumedAt) {
        lastLeaderHeardAt = Math.max(lastLeaderHeardAt, resumedAt);
        confirmations.discardAnswersBefore(resumedAt);
    }

    /** Notes that this controller confirms an outage, or renews a lease without leading, now. */
    void confirmedNow() {
        lastConfirmationAt = loop.now();
    }

    /** Negative while this controller may go on renewing leases for so long. */
    int millisecondsSinceConfirmation() {
        double latest = Math.max(lastConfirmationAt, renewsForNewLeaderUntil);
        double milliseconds = (loop.now() - latest) * MILLISECONDS_PER_SECOND;
        return (int) Math.min(Integer.MAX_VALUE, milliseconds);
    }

    boolean isLeaderSilent() {
        return loop.now() - lastLeaderHeardAt > timeouts.leaderSuspectAfterSeconds();
    }

    /** When any other controller was last heard from. */
    double lastHeardAt() {
        return lastHeardAt;
    }

    /** The highest term that a peer has named; 0 if none. */
    long highestTerm() {
        return highestTerm;
    }

    /** Whether a new term began so lately that leases are still renewed for its leader. */
    boolean renewsForNewLeader() {
        return loop.now() < renewsForNewLeaderUntil;
    }

    /** Whether a quorum confirms the outage and has not heard from a leader for some time. */
    boolean quorumMissesLeader(long term) {
        return isLeaderSilent() && confirmations.quorumMissesLeader(term);
    }

    /**
     * Until when other controllers may have renewed leases although this one leads; infinite unless
     * all of them have lately answered.
     */
    double othersMayRenewUntil() {
        if (!confirmations.allPeersResponded()) {
            return Double.POSITIVE_INFINITY;
        }
        double latest = Math.max(lastConfirmationAt, confirmations.lastConfirmationOfPeers());
        return latest + timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }
}
