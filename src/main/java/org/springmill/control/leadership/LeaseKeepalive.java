package org.springmill.control.leadership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.WorkerEpoch;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;

/**
 * Decides whether a controller that does not lead may renew a worker's lease, without sending
 * commands other than stops of cancelled tasks. It may if there is no leader, or if no leader can
 * treat this worker's lease as expired after missing its heartbeats. Leaders take such renewals
 * into account; docs/design.md has the argument.
 */
public final class LeaseKeepalive {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseKeepalive.class);

    private final KeyValueStoreClient store;
    private final Peers peers;
    private final Leadership leadership;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final CancellationFreshness freshness;

    /** By machine: the fencing token of its first heartbeat here during the current isolation. */
    private final Map<String, Long> firstFencingTokens = new HashMap<>();

    /** When this controller last received anything from the key-value store or a peer. */
    private double lastContactAt = Double.NEGATIVE_INFINITY;

    /** Zones of the workers that sent heartbeats here during the current isolation. */
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
     * Whether to renew the lease of the worker that sent a heartbeat.
     *
     * @param holdsTerm whether this controller was elected and does not know a later term
     */
    public boolean mayRenewLease(Heartbeat heartbeat, boolean holdsTerm) {
        if (hasObeyedNobody(heartbeat)) {
            return false;
        }
        boolean isolated = !store.isReachable() && isIsolated();
        if (isolated) {
            workerZones.add(heartbeat.zone());
        }
        Optional<RenewalGround> ground = ground(heartbeat, holdsTerm, isolated);
        boolean mayRenew = ground.isPresent() && cancelledTasksWillEnd(isolated);
        if (mayRenew) {
            LOG.debug(
                    "lease of worker {} renewed without leading: {}",
                    heartbeat.machine(),
                    ground.get());
            peers.recordLeaseRenewal();
        }
        return mayRenew;
    }

    /**
     * Whether a worker has no tasks, since it has taken neither command nor answer. Until a leader
     * gives it a token it would obey a late copy of any command, so it is sent to the leader.
     */
    private static boolean hasObeyedNobody(Heartbeat heartbeat) {
        return heartbeat.fencingToken() == 0;
    }

    /** Why no leader can treat the worker's lease as expired; empty if one may. */
    private Optional<RenewalGround> ground(
            Heartbeat heartbeat, boolean holdsTerm, boolean isolated) {
        if (leadership.isVacant()) {
            return Optional.of(RenewalGround.VACANT_LEADERSHIP);
        }
        if (renewsForNewLeader(holdsTerm)) {
            return Optional.of(RenewalGround.FAILOVER_SUPPORT);
        }
        if (renewsInConfirmedOutage(holdsTerm)) {
            return Optional.of(RenewalGround.CONFIRMED_OUTAGE);
        }
        return isolated && isUnreachableForLeaders(heartbeat)
                ? Optional.of(RenewalGround.ISOLATED)
                : Optional.empty();
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
                leadership.hasReadLeaderRecord() && peers.quorumSuspectsLeader(term);
        return confirmedByQuorum || peers.allConfirmOutage(term);
    }

    /**
     * Whether renewing leases keeps no cancelled task running: either all cancellations are known
     * here, or a leader outside the partitioned zone deletes the machines of cancelled tasks
     * through the cloud.
     */
    private boolean cancelledTasksWillEnd(boolean isolated) {
        return freshness.isFresh() || (isolated && isZonePartitioned());
    }

    /**
     * Whether this controller receives nothing from the key-value store or any other controller, as
     * is the case for every controller in a partitioned zone.
     */
    private boolean isIsolated() {
        double latestContactAt = Math.max(peers.lastReceivedAt(), store.lastServedAt());
        if (latestContactAt != lastContactAt) {
            // Tokens must not be kept from an earlier partition. Workers that a leader has since
            // sent higher tokens would seem to be reachable by a leader, and in a second partition
            // of the zone all of them were redirected until their leases expired.
            lastContactAt = latestContactAt;
            firstFencingTokens.clear();
            workerZones.clear();
        }
        double isolatedSince = Math.max(latestContactAt, resumedAt);
        return loop.now() - isolatedSince > timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }

    /** Records that this process was paused, and could not receive anything meanwhile. */
    public void resumed() {
        resumedAt = loop.now();
    }

    /** Records that a user, or the load balancer, reached this controller. */
    public void recordUserRequest() {
        lastUserRequestAt = loop.now();
    }

    /**
     * Whether this controller's zone is partitioned, rather than this controller alone isolated. In
     * that case a leader outside the zone deletes the machines of cancelled tasks through the
     * cloud. If users or workers of several zones still reach this controller, only it is isolated;
     * if the key-value store refuses its requests, there may be an outage. In both cases it is not
     * certain that any leader removes cancelled tasks whose leases this controller renews.
     */
    private boolean isZonePartitioned() {
        boolean reachedByUsers =
                lastUserRequestAt
                        >= lastContactAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return workerZones.size() == 1 && !reachedByUsers && !store.isRefusing();
    }

    /**
     * Whether no leader seems to reach a worker. If its fencing token has risen, some leader
     * reaches it, and it should send its heartbeats there.
     */
    private boolean isUnreachableForLeaders(Heartbeat heartbeat) {
        long token = heartbeat.fencingToken();
        long firstToken = firstFencingTokens.computeIfAbsent(heartbeat.machine(), machine -> token);
        long knownTerm = leadership.knownTerm();
        boolean isOfLaterTerm = knownTerm > 0 && WorkerEpoch.termOf(token) > knownTerm;
        return token <= firstToken && !isOfLaterTerm;
    }
}
