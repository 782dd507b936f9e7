package org.springmill.control.leadership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.springmill.control.cluster.WorkerEpoch;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;

/**
 * Decides whether a controller that does not lead keeps a worker's lease all the same, without
 * giving commands: because nobody leads, or because nobody who leads can declare this worker lost
 * for its silence. Leaders elsewhere allow for it; docs/design.md has the argument.
 */
public final class LeaseKeepalive {
    private final KeyValueStoreClient store;
    private final Peers peers;
    private final Leadership leadership;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final CancellationFreshness freshness;

    /** Tokens with which workers first came here while this controller has been isolated. */
    private final Map<String, Long> firstFencingTokens = new HashMap<>();

    /** When this controller last heard of anyone before it was isolated. */
    private double lastContactAt = Double.NEGATIVE_INFINITY;

    /** Zones whose workers came here while it has been isolated. */
    private final Set<String> workerZones = new HashSet<>();

    private double resumedAt = Double.NEGATIVE_INFINITY;
    private double lastUserRequestAt = Double.NEGATIVE_INFINITY;

    public LeaseKeepalive(
            KeyValueStoreClient store,
            Peers peers,
            Leadership leadership,
            CancellationFreshness freshness,
            EventLoop loop,
            Timeouts timeouts) {
        this.store = store;
        this.peers = peers;
        this.leadership = leadership;
        this.freshness = freshness;
        this.loop = loop;
        this.timeouts = timeouts;
    }

    /**
     * Whether a report is answered so that the worker's lease is renewed.
     *
     * @param holdsTerm whether this controller was elected and has not yet learned of a later term
     */
    public boolean mayRenewLease(Heartbeat heartbeat, boolean holdsTerm) {
        boolean isolated = !store.reachable() && isIsolated();
        if (isolated) {
            workerZones.add(heartbeat.zone());
        }
        boolean entitled =
                leadership.isVacant()
                        || renewsForNewLeader(holdsTerm)
                        || renewsInConfirmedOutage(holdsTerm)
                        || (isolated && isBeyondReachOfLeaders(heartbeat));
        boolean keeps = entitled && cancelledTasksWillEnd(isolated);
        if (keeps) {
            peers.recordLeaseRenewal();
        }
        return keeps;
    }

    private boolean renewsForNewLeader(boolean holdsTerm) {
        return !holdsTerm && peers.keepsLeasesForNewLeader();
    }

    private boolean renewsInConfirmedOutage(boolean holdsTerm) {
        return !store.reachable() && !holdsTerm && outageIsConfirmed() && !peers.anyLeads();
    }

    private boolean outageIsConfirmed() {
        long term = leadership.knownTerm();
        boolean confirmedByQuorum =
                leadership.hasReadLeaderRecord() && peers.quorumMissesLeader(term);
        return confirmedByQuorum || peers.allConfirmOutage(term);
    }

    /** Either its cancellations are known here, or a leader outside removes them by the cloud. */
    private boolean cancelledTasksWillEnd(boolean isolated) {
        return freshness.isFresh() || (isolated && zoneIsPartitioned());
    }

    /**
     * Whether this controller hears neither the key-value store nor any other controller, as is so
     * for all in a partitioned zone.
     */
    private boolean isIsolated() {
        double lastHeardAt = Math.max(peers.lastHeardAt(), store.lastServed());
        if (lastHeardAt != lastContactAt) {
            // Tokens remembered from an earlier partition made every worker that a leader had since
            // commanded seem to be within a leader's reach: in a second partition of the zone all
            // of them were sent away until their leases ended.
            lastContactAt = lastHeardAt;
            firstFencingTokens.clear();
            workerZones.clear();
        }
        double silentSince = Math.max(lastHeardAt, resumedAt);
        return loop.now() - silentSince > timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }

    /** Notes that this controller stood still, so that it could have heard nobody. */
    public void resumed() {
        resumedAt = loop.now();
    }

    /** Users, or the load balancer, reached this controller. */
    public void recordUserRequest() {
        lastUserRequestAt = loop.now();
    }

    /**
     * Whether the zone around this controller is partitioned rather than this controller alone:
     * then a leader outside removes through the cloud what was cancelled there. One that users or
     * the workers of several zones still reach is itself what is cut off, and one that the state
     * service refuses may be in the middle of an outage; nobody is then sure to remove what it
     * keeps.
     */
    private boolean zoneIsPartitioned() {
        boolean reachedByUsers =
                lastUserRequestAt
                        >= lastContactAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return workerZones.size() == 1 && !reachedByUsers && !store.isRefusing();
    }

    /** A worker whose token has risen is within some leader's reach and should report there. */
    private boolean isBeyondReachOfLeaders(Heartbeat heartbeat) {
        long firstToken =
                firstFencingTokens.computeIfAbsent(
                        heartbeat.machine(), m -> heartbeat.fencingToken());
        long knownTerm = leadership.knownTerm();
        boolean ofLaterTerm =
                knownTerm > 0 && WorkerEpoch.termOf(heartbeat.fencingToken()) > knownTerm;
        return heartbeat.fencingToken() <= firstToken && !ofLaterTerm;
    }
}
