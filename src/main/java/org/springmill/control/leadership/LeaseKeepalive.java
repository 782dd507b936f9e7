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
 * Decides whether a controller that does not lead renews a worker's lease all the same, without
 * giving commands: because nobody leads, or because no leader can take this worker's lease for
 * expired after missing its heartbeats. Leaders elsewhere allow for it; docs/design.md has the
 * argument.
 */
public final class LeaseKeepalive {
    private final KeyValueStoreClient store;
    private final Peers peers;
    private final Leadership leadership;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final CancellationFreshness freshness;

    /** By machine: its fencing token when it first came here in the present isolation. */
    private final Map<String, Long> firstFencingTokens = new HashMap<>();

    /** When this controller last heard from anyone before the present isolation. */
    private double lastContactAt = Double.NEGATIVE_INFINITY;

    /** Zones of the workers that came here in the present isolation. */
    private final Set<String> workerZones = new HashSet<>();

    private double resumedAt = Double.NEGATIVE_INFINITY;
    private double lastUserRequestAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates the rule for one controller.
     *
     * @param freshness bounds the age of the cancellations that this controller knows
     */
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
     * Whether a heartbeat is answered so that the worker's lease is renewed.
     *
     * @param holdsTerm whether this controller was elected and has not yet learned of a later term
     */
    public boolean mayRenewLease(Heartbeat heartbeat, boolean holdsTerm) {
        boolean isolated = !store.isReachable() && isIsolated();
        if (isolated) {
            workerZones.add(heartbeat.zone());
        }
        boolean noLeaderExpiresLease =
                leadership.isVacant()
                        || renewsForNewLeader(holdsTerm)
                        || renewsInConfirmedOutage(holdsTerm)
                        || (isolated && isBeyondReachOfLeaders(heartbeat));
        boolean renews = noLeaderExpiresLease && cancelledTasksWillEnd(isolated);
        if (renews) {
            peers.recordLeaseRenewal();
        }
        return renews;
    }

    private boolean renewsForNewLeader(boolean holdsTerm) {
        return !holdsTerm && peers.renewsForNewLeader();
    }

    private boolean renewsInConfirmedOutage(boolean holdsTerm) {
        return !store.isReachable() && !holdsTerm && isOutageConfirmed() && !peers.anyLeads();
    }

    private boolean isOutageConfirmed() {
        long term = leadership.knownTerm();
        boolean confirmedByQuorum =
                leadership.hasReadLeaderRecord() && peers.quorumMissesLeader(term);
        return confirmedByQuorum || peers.allConfirmOutage(term);
    }

    /**
     * Whether no cancelled task runs on for the renewal: its cancellation is known here, or a
     * leader outside the partitioned zone deletes its machine through the cloud.
     */
    private boolean cancelledTasksWillEnd(boolean isolated) {
        return freshness.isFresh() || (isolated && isZonePartitioned());
    }

    /**
     * Whether this controller hears neither the key-value store nor any other controller, as every
     * controller in a partitioned zone does.
     */
    private boolean isIsolated() {
        double latestContactAt = Math.max(peers.lastHeardAt(), store.lastServedAt());
        if (latestContactAt != lastContactAt) {
            // Tokens remembered from an earlier partition made every worker that a leader had since
            // commanded seem to be within a leader's reach: in a second partition of the zone all
            // of them were redirected until their leases expired.
            lastContactAt = latestContactAt;
            firstFencingTokens.clear();
            workerZones.clear();
        }
        double silentSince = Math.max(latestContactAt, resumedAt);
        return loop.now() - silentSince > timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }

    /** Notes that this process was paused, so that it could not hear from anyone. */
    public void resumed() {
        resumedAt = loop.now();
    }

    /** Notes that a user, or the load balancer, reached this controller. */
    public void recordUserRequest() {
        lastUserRequestAt = loop.now();
    }

    /**
     * Whether the zone around this controller is partitioned rather than this controller alone:
     * then a leader outside removes through the cloud what was cancelled there. A controller that
     * users or the workers of several zones still reach is itself the one that is isolated, and one
     * that the key-value store refuses may be in the middle of an outage; nobody is then sure to
     * remove the tasks whose leases it renews.
     */
    private boolean isZonePartitioned() {
        boolean reachedByUsers =
                lastUserRequestAt
                        >= lastContactAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return workerZones.size() == 1 && !reachedByUsers && !store.isRefusing();
    }

    /**
     * Whether no leader seems to reach a worker. One whose fencing token has risen is within some
     * leader's reach and should send its heartbeats there.
     */
    private boolean isBeyondReachOfLeaders(Heartbeat heartbeat) {
        long token = heartbeat.fencingToken();
        long firstToken = firstFencingTokens.computeIfAbsent(heartbeat.machine(), machine -> token);
        long knownTerm = leadership.knownTerm();
        boolean ofLaterTerm = knownTerm > 0 && WorkerEpoch.termOf(token) > knownTerm;
        return token <= firstToken && !ofLaterTerm;
    }
}
