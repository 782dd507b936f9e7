package org.springmill.control.membership;

import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/**
 * What this controller may conclude from the status of its peers and from what it has confirmed to
 * them: terms, outages of the key-value store, and until when which controllers may renew workers'
 * leases.
 */
final class PeerEvidence {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final EventLoop loop;
    private final Timeouts timeouts;
    private final PeerConfirmations confirmations;

    /** When this controller last confirmed an outage, or renewed a worker's lease as a follower. */
    private double lastConfirmationAt;

    private double lastLeaderStatusAt;
    private double lastReceivedAt;
    private double renewsForNewLeaderUntil = Double.NEGATIVE_INFINITY;
    private long highestTerm;

    /**
     * @param nodes all other controllers
     */
    PeerEvidence(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        confirmations = new PeerConfirmations(loop, timeouts, nodes);
        // An earlier process of this node may have confirmed an outage just before this one
        // started.
        lastConfirmationAt = loop.now();
        lastLeaderStatusAt = loop.now();
        lastReceivedAt = loop.now();
    }

    /** The responses of the peers. */
    PeerConfirmations confirmations() {
        return confirmations;
    }

    /** Records a status received from a peer, either a request or a response. */
    void statusReceived(PeerStatus status) {
        if (status.term() > highestTerm) {
            highestTerm = status.term();
            renewsForNewLeaderUntil = loop.now() + timeouts.newLeaderKeepaliveSeconds();
        }
        lastReceivedAt = loop.now();
        if (status.leading()) {
            lastLeaderStatusAt = loop.now();
        }
    }

    /**
     * Records that the process was paused: it may have missed responses, and earlier confirmations
     * are no longer valid.
     */
    void resumed(double resumedAt) {
        lastLeaderStatusAt = Math.max(lastLeaderStatusAt, resumedAt);
        confirmations.disregardResponsesBefore(resumedAt);
    }

    /** Records that this controller now confirms an outage, or renews a lease without leading. */
    void recordConfirmation() {
        lastConfirmationAt = loop.now();
    }

    /**
     * Time since the last confirmation; negative if this controller may still renew leases for that
     * long.
     */
    int millisecondsSinceConfirmation() {
        double latest = Math.max(lastConfirmationAt, renewsForNewLeaderUntil);
        double milliseconds = (loop.now() - latest) * MILLISECONDS_PER_SECOND;
        return (int) Math.min(Integer.MAX_VALUE, milliseconds);
    }

    boolean isLeaderSuspected() {
        return loop.now() - lastLeaderStatusAt > timeouts.leaderSuspectAfterSeconds();
    }

    /** When a status was last received from any other controller. */
    double lastReceivedAt() {
        return lastReceivedAt;
    }

    /** The highest term that a peer has named; 0 if none. */
    long highestTerm() {
        return highestTerm;
    }

    /** Whether a new term became known so recently that leases are still renewed for its leader. */
    boolean renewsForNewLeader() {
        return loop.now() < renewsForNewLeaderUntil;
    }

    /**
     * Whether a quorum confirms the outage and has not received anything from a leader for some
     * time.
     */
    boolean quorumSuspectsLeader(long term) {
        return isLeaderSuspected() && confirmations.quorumSuspectsLeader(term);
    }

    /**
     * Until when other controllers may renew leases although this one leads; infinite unless all of
     * them have responded recently.
     */
    double othersMayRenewUntil() {
        if (!confirmations.allPeersResponded()) {
            return Double.POSITIVE_INFINITY;
        }
        double latest = Math.max(lastConfirmationAt, confirmations.lastConfirmationOfPeers());
        return latest + timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }
}
