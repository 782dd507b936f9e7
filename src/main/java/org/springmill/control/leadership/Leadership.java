package org.springmill.control.leadership;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.leadership.LeaderLease.Renewal;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.storage.KeyValueStoreClient.LeaseRenewal;
import org.springmill.control.storage.KeyValueStoreClient.ReadResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * Leader election, as seen by this controller. The leader is the controller whose {@link
 * LeaderRecord} is in the key-value store, attached to a lease there; the revision at which the
 * record was written is the term.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /**
     * How long a controller that resigned does not campaign, as a multiple of the leader's lease.
     */
    private static final int LEASES_BEFORE_CAMPAIGNING_AGAIN = 2;

    /** Listener for the start and end of the terms of this controller. */
    public interface Listener {
        /**
         * This controller has become the leader.
         *
         * @param term its term, the revision of its leader record
         */
        void gained(long term);

        /** The term of this controller has ended. */
        void lost();
    }

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final Peers peers;
    private final String incarnation;
    private final Listener listener;
    private final LeaderLease lease;
    private final LeaderCampaign campaign;
    private final KnownLeader knownLeader = new KnownLeader();
    private LeadershipState state = LeadershipState.FOLLOWING;

    /** The last term that this controller held or holds; 0 if none. */
    private long term;

    /** The last term whose lease this controller revoked because its leader refused connections. */
    private long revokedTerm;

    /** After resigning, this controller does not campaign before this time. */
    private double mayCampaignFrom;

    /**
     * Creates the leadership of a controller, which does not campaign before {@link #start}.
     *
     * @param incarnation random name of this process, which distinguishes its leader record from
     *     those of earlier processes of the node
     */
    public Leadership(
            KeyValueStoreClient store,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts,
            Peers peers,
            String incarnation,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.settings = settings;
        this.timeouts = timeouts;
        this.peers = peers;
        this.incarnation = incarnation;
        this.listener = listener;
        lease = new LeaderLease(loop, timeouts);
        campaign = new LeaderCampaign(store, loop, settings, timeouts, incarnation, lease);
    }

    /** Starts watching the leader record, and campaigning whenever there is none. */
    public void start() {
        renewOrElect();
        new LeaderRecordWatch(store, loop, timeouts, this::leaderRecordChanged).start();
    }

    /**
     * The current state, after checking whether the lease has expired or a later term has begun.
     */
    public LeadershipState state() {
        refreshState();
        return state;
    }

    /** The last term that this controller held or holds; 0 if none. */
    public long term() {
        return term;
    }

    /** The highest term this controller knows of. */
    public long knownTerm() {
        return Math.max(knownLeader.term(), term);
    }

    /** The node of the last known leader; null if there is none. */
    public String leader() {
        return holdsTerm() ? settings.node() : knownLeader.node().orElse(null);
    }

    /**
     * Whether the key-value store has answered a read of the leader record since this process
     * started, also if there was no record.
     */
    public boolean hasReadLeaderRecord() {
        return knownLeader.hasReadRecord();
    }

    /**
     * Whether the leader record is known to be missing and no later term is known. Every controller
     * may then renew workers' leases until it learns of a new term, at the latest when the next
     * leader polls it. If only leaders renewed them, leases would expire after a crash of all
     * controllers, while a new leader is elected and recovers the state.
     */
    boolean isVacant() {
        return !holdsTerm() && knownLeader.isVacant(peers.highestTerm());
    }

    /** The condition of every write of a leader: no other leader has been elected since. */
    public Condition termCondition() {
        return new Condition(LeaderRecord.KEY, term);
    }

    private boolean holdsTerm() {
        return state.holdsTerm();
    }

    /** Whether placements may be committed: only under a lease known to be valid. */
    public boolean mayPlace() {
        return state() == LeadershipState.LEADING;
    }

    /**
     * Whether this controller may answer heartbeats as the leader: until the grace period after the
     * expiry of its lease is over, provided that the lease was confirmed since the last process
     * pause; otherwise only while an outage of the key-value store is confirmed.
     */
    public boolean mayRespondToWorkers() {
        return groundToRespond().isPresent();
    }

    /** The ground of {@link #mayRespondToWorkers}; empty if there is none. */
    public Optional<RenewalGround> groundToRespond() {
        refreshState();
        if (!holdsTerm()) {
            return Optional.empty();
        }
        if (lease.isWithinGrace() && lease.isConfirmedSincePause()) {
            return Optional.of(RenewalGround.LEADER_LEASE);
        }
        return isOutageConfirmed()
                ? Optional.of(RenewalGround.LEADER_IN_CONFIRMED_OUTAGE)
                : Optional.empty();
    }

    /**
     * Records that this process was paused. Its lease is not relied on until a renewal sent after
     * the pause has been answered, however long the lease is still valid.
     */
    public void resumed() {
        lease.resumed();
        refreshState();
        if (holdsTerm()) {
            transition(LeadershipState.LEASE_UNCERTAIN);
            renew();
        }
    }

    /**
     * Whether a quorum or all peers confirm an outage of the key-value store. Peers that have not
     * read the leader record since their restart do not count for the quorum, but suffice if all
     * peers confirm.
     */
    private boolean isOutageConfirmed() {
        return peers.quorumConfirmsOutage(term) || peers.allConfirmOutage(term);
    }

    /**
     * Ends this controller's term, if it holds one.
     *
     * @param reason written to the log
     */
    public void stepDown(String reason) {
        if (holdsTerm()) {
            LOG.warn("term {} is over: {}", term, reason);
            transition(LeadershipState.FOLLOWING);
        }
    }

    /**
     * Steps down and revokes the lease, so that another controller can be elected immediately.
     *
     * @param reason written to the log
     */
    public void resign(String reason) {
        Optional<Long> leaseOfTerm = lease.held();
        mayCampaignFrom =
                loop.now() + LEASES_BEFORE_CAMPAIGNING_AGAIN * timeouts.leaderLeaseSeconds();
        stepDown(reason);
        leaseOfTerm.ifPresent(leaseId -> store.revokeLease(leaseId, () -> {}));
    }

    /**
     * If this controller is a follower and the leader refuses connections, revokes the leader's
     * lease instead of waiting for its expiry. A refused connection does not prove that the
     * leader's process has ended, and need not: revoking a lease early is safe, since a new leader
     * waits for a whole lease and the grace period from the start of its term on before it assumes
     * that its predecessor has stopped.
     *
     * @param lastStatus the last status of the node that refuses connections
     */
    public void leaderRefusedConnection(PeerStatus lastStatus) {
        String node = lastStatus.from();
        boolean isCurrentLeader =
                knownLeader.isNode(node) && lastStatus.term() >= knownLeader.term();
        if (state == LeadershipState.FOLLOWING
                && isCurrentLeader
                && revokedTerm != knownLeader.term()) {
            store.get(LeaderRecord.KEY, read -> revokeLeaseOf(node, read));
        }
    }

    private void revokeLeaseOf(String node, ReadResult read) {
        Entry entry = read.entry();
        if (state != LeadershipState.FOLLOWING || entry == null || entry.version() <= revokedTerm) {
            return;
        }
        if (LeaderRecord.decode(entry.value()).node().equals(node)) {
            revokedTerm = entry.version();
            LOG.info(
                    "leader {} refuses connections: revoking its lease, term {}",
                    node,
                    revokedTerm);
            store.revokeLease(entry.lease(), this::readRecord);
        }
    }

    private void readRecord() {
        store.get(LeaderRecord.KEY, this::leaderRecordRead);
    }

    private void transition(LeadershipState next) {
        if (state == next) {
            return;
        }
        if (!state.mayBecome(next)) {
            LOG.error("leadership cannot go from {} to {}", state, next);
            return;
        }
        LOG.info("leadership {} -> {} (term {})", state, next, term);
        boolean held = holdsTerm();
        state = next;
        if (!held && holdsTerm()) {
            listener.gained(term);
        } else if (held && !holdsTerm()) {
            lease.release();
            listener.lost();
        }
    }

    private void refreshState() {
        if (state == LeadershipState.LEADING && lease.hasExpired()) {
            transition(LeadershipState.LEASE_UNCERTAIN);
        }
        if (holdsTerm() && peers.highestTerm() > term) {
            stepDown("a peer knows a later term");
        }
    }

    private void renewOrElect() {
        refreshState();
        if (holdsTerm()) {
            renew();
        } else if (state == LeadershipState.FOLLOWING) {
            readRecord();
        }
        loop.after(timeouts.leaderRenewIntervalSeconds(), this::renewOrElect);
    }

    private void renew() {
        lease.beginRenewal().ifPresent(this::sendRenewal);
    }

    private void sendRenewal(Renewal renewal) {
        store.renewLease(renewal.leaseId(), result -> renewalAnswered(renewal, result));
    }

    private void renewalAnswered(Renewal renewal, LeaseRenewal result) {
        boolean isCurrentLease = lease.endRenewal(renewal);
        if (!holdsTerm() || !isCurrentLease) {
            return;
        }
        switch (result) {
            case RENEWED -> renewed(renewal);
            case ENDED -> stepDown("its lease has ended");
            case UNKNOWN ->
                    LOG.debug("renewal of leader lease {} was not answered", renewal.leaseId());
        }
    }

    private void renewed(Renewal renewal) {
        lease.extend(renewal);
        if (!lease.isConfirmedSincePause()) {
            renew();
        } else if (state == LeadershipState.LEASE_UNCERTAIN && !lease.hasExpired()) {
            transition(LeadershipState.LEADING);
        }
    }

    private void leaderRecordRead(ReadResult read) {
        if (!read.served() || state != LeadershipState.FOLLOWING) {
            return;
        }
        knownLeader.markRecordRead();
        if (read.entry() == null) {
            knownLeader.vacant(read.revision());
            // A controller that resigned leaves the election to the others for a while.
            if (loop.now() >= mayCampaignFrom) {
                campaign();
            }
        } else {
            handleLeaderRecord(read.entry());
        }
    }

    private void handleLeaderRecord(Entry entry) {
        LeaderRecord leader = LeaderRecord.decode(entry.value());
        knownLeader.recorded(leader.node(), entry.version());
        if (!leader.node().equals(settings.node())) {
            return;
        }
        if (!leader.incarnation().equals(incarnation)) {
            // The earlier process of this node has ended, since this one uses its address. Its
            // lease can be revoked without waiting for the expiry.
            knownLeader.processEnded();
            LOG.info(
                    "revoking lease {} of an earlier process of this node, term {}",
                    entry.lease(),
                    entry.version());
            store.revokeLease(entry.lease(), this::readRecord);
        } else if (lease.hasId(entry.lease())) {
            // The campaign was won, but the response to its commit was lost.
            elected(entry.version());
        }
    }

    private void campaign() {
        transition(LeadershipState.CAMPAIGNING);
        campaign.run(this::campaignAnswered, () -> transition(LeadershipState.FOLLOWING));
    }

    private void campaignAnswered(CommitResult result) {
        if (state != LeadershipState.CAMPAIGNING) {
            return;
        }
        if (result.outcome() == CommitOutcome.COMMITTED) {
            elected(result.revision());
        } else {
            transition(LeadershipState.FOLLOWING);
            // Finds out who was elected: possibly this controller, if only the response was lost.
            readRecord();
        }
    }

    private void elected(long revision) {
        if (lease.hasExpired()) {
            transition(LeadershipState.FOLLOWING);
            return;
        }
        term = revision;
        knownLeader.recorded(settings.node(), revision);
        transition(LeadershipState.LEADING);
        if (!lease.isConfirmedSincePause()) {
            // The process was paused after it had requested the lease.
            transition(LeadershipState.LEASE_UNCERTAIN);
            renew();
        }
    }

    private void leaderRecordChanged(Change change) {
        if (change.value() == null) {
            leaderRecordDeleted(change.version());
        } else if (change.version() > term && holdsTerm()) {
            stepDown("another controller has taken over");
        } else if (state == LeadershipState.FOLLOWING && change.version() > knownLeader.term()) {
            knownLeader.recorded(LeaderRecord.decode(change.value()).node(), change.version());
        }
    }

    private void leaderRecordDeleted(long revision) {
        if (holdsTerm() && revision > term) {
            stepDown("its leader record was deleted");
        }
        knownLeader.vacant(revision);
        if (state == LeadershipState.FOLLOWING) {
            readRecord();
        }
    }
}
