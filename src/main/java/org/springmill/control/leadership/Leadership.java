package org.springmill.control.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * Election and state of the leadership. The leader is whoever's {@link LeaderRecord} stands in the
 * key-value store, attached to a lease there; the revision at which it was written is the term.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** After it has resigned, a controller lets others stand for so many leases. */
    private static final int LEASES_BEFORE_STANDING_AGAIN = 2;

    /** Where this controller stands in the election. */
    public enum State {
        /** Another controller leads, or none is known to. */
        FOLLOWING,

        /** Has asked for a lease, to put its own record on it. */
        CAMPAIGNING,
        /** Leading, and the lease is known to hold. */
        LEADING,
        /** Leading, but the lease may have run out: nothing is placed. */
        LEASE_UNCERTAIN
    }

    /** Takes notice of gained and lost leadership. */
    public interface Listener {
        /** This controller leads from now on. */
        void gained(long term);

        /** This controller leads no longer. */
        void lost();
    }

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final Peers peers;
    private final String incarnation;
    private final Listener listener;
    private State state = State.FOLLOWING;
    private long lease;
    private double validUntil = Double.NEGATIVE_INFINITY;
    private long term;
    private long knownTerm;
    private String knownLeader;

    /**
     * Revision at which the record was last found missing: every term up to it is over. 0 if it is
     * there.
     */
    private long vacantAtRevision;

    /** When the last renewal that was answered had been sent. */
    private double leaseConfirmedAt = Double.NEGATIVE_INFINITY;

    private double resumedAt = Double.NEGATIVE_INFINITY;
    private boolean renewing;
    private boolean recordRead;

    /** The last term that this controller ended because its leader refused connections. */
    private long revokedTerm;

    /** After resigning, this controller does not stand before this time. */
    private double standsForElectionFrom;

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
    }

    /** Begins to follow the leader's record, and to stand whenever there is none. */
    public void start() {
        renewOrElect();
        new LeaderRecordWatch(store, loop, timeouts, this::leaderRecordChanged).start();
    }

    /** The state as of now: a lease that has run out is noticed here. */
    public State state() {
        refreshState();
        return state;
    }

    /** The last term that this controller held or holds; 0 if none. */
    public long term() {
        return term;
    }

    /** The highest term this controller knows of. */
    public long knownTerm() {
        return Math.max(knownTerm, term);
    }

    /** The node that leads as far as is known, or null. */
    public String leader() {
        return holdsTerm() ? settings.node() : knownLeader;
    }

    /** Whether the leader's record was read since this process started. */
    public boolean hasReadLeaderRecord() {
        return recordRead;
    }

    /**
     * Whether the last that was heard of the leader's record is that there is none. Until whoever
     * wins has asked this controller, and so told it of the new term, workers may be kept by
     * anyone: after a crash of all controllers, the moments in which they elect and rebuild are
     * those in which leases run out.
     */
    boolean isVacant() {
        return vacantAtRevision > 0
                && !holdsTerm()
                && Math.max(knownTerm, peers.highestTerm()) <= vacantAtRevision;
    }

    /** Holds in the key-value store for as long as nobody else has led since this term began. */
    public Condition termCondition() {
        return new Condition(LeaderRecord.KEY, term);
    }

    private boolean holdsTerm() {
        return state == State.LEADING || state == State.LEASE_UNCERTAIN;
    }

    /** Whether placements may be committed and commands given. */
    public boolean mayPlace() {
        return state() == State.LEADING;
    }

    /**
     * Whether reports may be answered: while the lease holds, for the grace after it, and beyond
     * that only while a quorum of controllers, or all of them, confirm an outage of the state
     * service.
     */
    public boolean mayRespondToWorkers() {
        refreshState();
        return holdsTerm() && ((withinGrace() && !isLeaseUnconfirmed()) || outageConfirmed());
    }

    /** Whether this controller stood still, and has not proven since that it still leads. */
    private boolean isLeaseUnconfirmed() {
        return leaseConfirmedAt < resumedAt;
    }

    /**
     * Notes that this controller stood still. However long its lease had to run, it acts as leader
     * only once a renewal, sent since, has been answered.
     */
    public void resumed() {
        resumedAt = loop.now();
        refreshState();
        if (holdsTerm()) {
            transition(State.LEASE_UNCERTAIN);
            renew();
        }
    }

    private boolean withinGrace() {
        return loop.now() < validUntil + timeouts.leaderGraceSeconds();
    }

    private boolean outageConfirmed() {
        return peers.quorumConfirmsOutage(term) || peers.allConfirmOutage(term);
    }

    /** A message showed a token of a later term: someone else leads. */
    public void stepDown(String why) {
        if (holdsTerm()) {
            LOG.warn("term {} is over: {}", term, why);
            transition(State.FOLLOWING);
        }
    }

    /** Gives the leadership up so that another controller can take it. */
    public void resign(String why) {
        long given = lease;
        standsForElectionFrom =
                loop.now() + LEASES_BEFORE_STANDING_AGAIN * timeouts.leaderLeaseSeconds();
        stepDown(why);
        if (given != 0) {
            store.revoke(given, () -> {});
        }
    }

    /**
     * A follower that finds the leader's process gone ends its lease for it, rather than wait. That
     * is no proof of the leader's end and need not be one: taking a lease away early is safe, since
     * a new leader allows its predecessor a whole lease and the grace from its own beginning on.
     */
    public void leaderRefusedConnection(PeerStatus lastStatus) {
        String node = lastStatus.from();
        boolean leadsNow = node.equals(knownLeader) && lastStatus.term() >= knownTerm;
        if (state == State.FOLLOWING && leadsNow && revokedTerm != knownTerm) {
            store.get(LeaderRecord.KEY, read -> revokeLeaseOf(node, read));
        }
    }

    private void revokeLeaseOf(String node, ReadResult read) {
        Entry entry = read.entry();
        if (state != State.FOLLOWING || entry == null || entry.version() <= revokedTerm) {
            return;
        }
        if (LeaderRecord.decode(entry.value()).node().equals(node)) {
            revokedTerm = entry.version();
            LOG.info("{} refuses connections: ending its term {}", node, revokedTerm);
            store.revoke(entry.lease(), this::readRecord);
        }
    }

    private void readRecord() {
        store.get(LeaderRecord.KEY, this::leaderRecordRead);
    }

    private void transition(State next) {
        if (state == next) {
            return;
        }
        boolean legal =
                switch (next) {
                    case FOLLOWING -> true;
                    case CAMPAIGNING -> state == State.FOLLOWING;
                    case LEADING -> true;
                    case LEASE_UNCERTAIN -> state == State.LEADING;
                };
        if (!legal) {
            LOG.error("leadership cannot go from {} to {}", state, next);
            return;
        }
        LOG.info("leadership {} -> {} (term {})", state, next, term);
        boolean held = holdsTerm();
        state = next;
        if (!held && holdsTerm()) {
            listener.gained(term);
        } else if (held && !holdsTerm()) {
            lease = 0;
            listener.lost();
        }
    }

    private void refreshState() {
        if (state == State.LEADING && loop.now() >= validUntil) {
            transition(State.LEASE_UNCERTAIN);
        }
        if (holdsTerm() && peers.highestTerm() > term) {
            stepDown("a peer knows a later term");
        }
    }

    private void renewOrElect() {
        refreshState();
        if (holdsTerm()) {
            renew();
        } else if (state == State.FOLLOWING) {
            readRecord();
        }
        loop.after(timeouts.leaderRenewIntervalSeconds(), this::renewOrElect);
    }

    private void renew() {
        if (renewing) {
            return;
        }
        renewing = true;
        double sentAt = loop.now();
        long renewedLease = lease;
        store.renew(renewedLease, result -> renewalAnswered(result, renewedLease, sentAt));
    }

    private void renewalAnswered(LeaseRenewal result, long renewedLease, double sentAt) {
        renewing = false;
        if (!holdsTerm() || lease != renewedLease) {
            return;
        }
        switch (result) {
            case RENEWED -> {
                validUntil = Math.max(validUntil, sentAt + timeouts.leaderLeaseSeconds());
                leaseConfirmedAt = sentAt;
                if (isLeaseUnconfirmed()) {
                    renew();
                } else if (state == State.LEASE_UNCERTAIN && loop.now() < validUntil) {
                    transition(State.LEADING);
                }
            }
            case ENDED -> stepDown("its lease has ended");
            case UNKNOWN -> LOG.debug("renewal without answer");
        }
    }

    private void leaderRecordRead(ReadResult read) {
        if (!read.served() || state != State.FOLLOWING) {
            return;
        }
        recordRead = true;
        if (read.entry() == null) {
            knownLeader = null;
            vacantAtRevision = read.revision();
            // Having just given the leadership up, this controller stands again only if nobody else
            // does.
            if (loop.now() >= standsForElectionFrom) {
                campaign();
            }
        } else {
            leaderRecorded(read.entry());
        }
    }

    private void leaderRecorded(Entry entry) {
        LeaderRecord leader = LeaderRecord.decode(entry.value());
        knownTerm = Math.max(knownTerm, entry.version());
        knownLeader = leader.node();
        vacantAtRevision = 0;
        if (!leader.node().equals(settings.node())) {
            return;
        }
        if (!leader.incarnation().equals(incarnation)) {
            // This node's earlier process is gone, since this one has its address: no need to wait
            // for its lease.
            knownLeader = null;
            LOG.info("ending the lease of an earlier process of this node");
            store.revoke(entry.lease(), this::readRecord);
        } else if (entry.lease() == lease) {
            // A campaign whose answer was lost has been won after all.
            elected(entry.version());
        }
    }

    private void campaign() {
        transition(State.CAMPAIGNING);
        double askedAt = loop.now();
        store.grant(timeouts.leaderLeaseSeconds(), granted -> leaseGrantAnswered(granted, askedAt));
    }

    private void leaseGrantAnswered(long granted, double askedAt) {
        if (granted == 0) {
            transition(State.FOLLOWING);
            return;
        }
        lease = granted;
        validUntil = askedAt + timeouts.leaderLeaseSeconds();
        leaseConfirmedAt = askedAt;
        Condition noLeader = new Condition(LeaderRecord.KEY, 0);
        JsonNode record = LeaderRecord.encode(settings, incarnation);
        Write takeOffice = new Write(LeaderRecord.KEY, record, granted);
        store.compareAndSwap(List.of(noLeader), List.of(takeOffice), this::campaignAnswered);
    }

    private void campaignAnswered(CommitResult result) {
        if (state != State.CAMPAIGNING) {
            return;
        }
        if (result.outcome() == CommitOutcome.COMMITTED) {
            elected(result.revision());
        } else {
            transition(State.FOLLOWING);
            // Whoever won is found out at once; so is an own win whose answer was lost.
            readRecord();
        }
    }

    private void elected(long revision) {
        if (loop.now() >= validUntil) {
            transition(State.FOLLOWING);
            return;
        }
        term = revision;
        knownTerm = Math.max(knownTerm, revision);
        knownLeader = settings.node();
        vacantAtRevision = 0;
        transition(State.LEADING);
        if (isLeaseUnconfirmed()) {
            transition(State.LEASE_UNCERTAIN);
            renew();
        }
    }

    private void leaderRecordChanged(Change change) {
        if (change.value() == null) {
            if (holdsTerm() && change.version() > term) {
                stepDown("its record is gone");
            }
            knownLeader = null;
            vacantAtRevision = change.version();
            if (state == State.FOLLOWING) {
                readRecord();
            }
        } else if (change.version() > term && holdsTerm()) {
            stepDown("another controller has taken over");
        } else if (state == State.FOLLOWING && change.version() > knownTerm) {
            knownTerm = change.version();
            vacantAtRevision = 0;
            knownLeader = LeaderRecord.decode(change.value()).node();
        }
    }
}
