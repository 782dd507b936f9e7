package org.springmill.control.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.StateStore;
import org.springmill.control.storage.StateStore.Outcome;
import org.springmill.control.storage.StateStore.ReadResult;
import org.springmill.protocol.Json;
import org.springmill.protocol.PeerMessages.Status;
import org.springmill.protocol.Settings;
import org.springmill.protocol.StateMessages.Change;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Entry;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.transport.Loop;

/**
 * Who leads: whoever's record stands under {@code leader}, attached to a lease of the state
 * service. The revision at which the record was written is the term.
 */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    static final String KEY = "leader";

    enum State {
        FOLLOWING,
        CAMPAIGNING,
        /** Leading, and the lease is known to hold. */
        LEADING,
        /** Leading, but the lease may have run out: nothing is placed. */
        DOUBTING
    }

    /** Takes notice of gained and lost leadership. */
    interface Listener {
        void gained(long term);

        void lost();
    }

    private final StateStore store;
    private final Loop loop;
    private final Settings settings;
    private final Timing timing;
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
    private long vacantAt;

    private long watchFrom;
    private boolean renewing;
    private boolean informed;
    private long deposedTerm;
    private double notBefore;

    Leadership(
            StateStore store,
            Loop loop,
            Settings settings,
            Timing timing,
            Peers peers,
            String incarnation,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.settings = settings;
        this.timing = timing;
        this.peers = peers;
        this.incarnation = incarnation;
        this.listener = listener;
    }

    void start() {
        tick();
        watch();
    }

    State state() {
        check();
        return state;
    }

    long term() {
        return term;
    }

    /** The highest term this controller knows of. */
    long knownTerm() {
        return Math.max(knownTerm, term);
    }

    /** The node that leads as far as is known, or null. */
    String leader() {
        return holdsTerm() ? settings.node() : knownLeader;
    }

    /** Whether the leader's record was read since this process started. */
    boolean informed() {
        return informed;
    }

    /**
     * Whether the last that was heard of the leader's record is that there is none. Until whoever
     * wins has asked this controller, and so told it of the new term, workers may be kept by
     * anyone: after a crash of all controllers, the moments in which they elect and rebuild are
     * those in which leases run out.
     */
    boolean vacant() {
        return vacantAt > 0 && !holdsTerm() && Math.max(knownTerm, peers.highestTerm()) <= vacantAt;
    }

    Condition condition() {
        return new Condition(KEY, term);
    }

    private boolean holdsTerm() {
        return state == State.LEADING || state == State.DOUBTING;
    }

    /** Whether rounds may be placed and commands given. */
    boolean mayPlace() {
        return state() == State.LEADING;
    }

    /**
     * Whether reports may be answered: while the lease holds, for the grace after it, and beyond
     * that only on the word of most or all controllers that they cannot reach the state service.
     */
    boolean mayAnswer() {
        check();
        return holdsTerm()
                && (loop.now() < validUntil + timing.graceS()
                        || peers.mostConfirmOutage(term)
                        || peers.allConfirmOutage(term));
    }

    /** A message showed a token of a later term: someone else leads. */
    void deposed(String why) {
        if (holdsTerm()) {
            LOG.warn("term {} is over: {}", term, why);
            transition(State.FOLLOWING);
        }
    }

    /** Gives the leadership up so that another controller can take it. */
    void resign(String why) {
        long given = lease;
        notBefore = loop.now() + 2 * timing.leaderTtlS();
        deposed(why);
        if (given != 0) {
            store.revoke(given, () -> {});
        }
    }

    /**
     * A follower that finds the leader's process gone ends its lease for it, rather than wait. That
     * is no proof of the leader's end and need not be one: taking a lease away early is safe, since
     * a new leader allows its predecessor a whole lease and the grace from its own beginning on.
     */
    void leaderRefuses(Status lastSaid) {
        String node = lastSaid.from();
        if (state != State.FOLLOWING
                || !node.equals(knownLeader)
                || lastSaid.term() < knownTerm
                || deposedTerm == knownTerm) {
            return;
        }
        store.get(
                KEY,
                read -> {
                    if (state == State.FOLLOWING
                            && read.entry() != null
                            && read.entry().version() > deposedTerm
                            && read.entry().value().path("node").asText().equals(node)) {
                        deposedTerm = read.entry().version();
                        LOG.info("{} refuses connections: ending its term {}", node, deposedTerm);
                        store.revoke(read.entry().lease(), () -> store.get(KEY, this::seen));
                    }
                });
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
                    case DOUBTING -> state == State.LEADING;
                };
        if (!legal) {
            LOG.error("leadership cannot go from {} to {}", state, next);
            return;
        }
        LOG.info("leadership {} -> {} (term {})", state, next, term);
        boolean held = holdsTerm();
        state = next;
        if (!held && holdsTerm()) {
            store.setLeading(true);
            listener.gained(term);
        } else if (held && !holdsTerm()) {
            lease = 0;
            store.setLeading(false);
            listener.lost();
        }
    }

    private void check() {
        if (state == State.LEADING && loop.now() >= validUntil) {
            transition(State.DOUBTING);
        }
        if (holdsTerm() && peers.highestTerm() > term) {
            deposed("a peer knows a later term");
        }
    }

    private void tick() {
        check();
        if (holdsTerm()) {
            renew();
        } else if (state == State.FOLLOWING) {
            store.get(KEY, this::seen);
        }
        loop.after(timing.renewS(), this::tick);
    }

    private void renew() {
        if (renewing) {
            return;
        }
        renewing = true;
        double sent = loop.now();
        long renewed = lease;
        store.renew(
                renewed,
                result -> {
                    renewing = false;
                    if (!holdsTerm() || lease != renewed) {
                        return;
                    }
                    switch (result) {
                        case RENEWED -> {
                            validUntil = Math.max(validUntil, sent + timing.leaderTtlS());
                            if (state == State.DOUBTING && loop.now() < validUntil) {
                                transition(State.LEADING);
                            }
                        }
                        case ENDED -> deposed("its lease has ended");
                        case UNKNOWN -> LOG.debug("renewal without answer");
                    }
                });
    }

    private void seen(ReadResult read) {
        if (!read.served() || state != State.FOLLOWING) {
            return;
        }
        informed = true;
        if (read.entry() == null) {
            knownLeader = null;
            vacantAt = read.revision();
            // Having just given the leadership up, this controller stands again only if nobody else
            // does.
            if (loop.now() >= notBefore) {
                campaign();
            }
        } else {
            recorded(read.entry());
        }
    }

    private void recorded(Entry entry) {
        JsonNode value = entry.value();
        String node = value.path("node").asText();
        knownTerm = Math.max(knownTerm, entry.version());
        knownLeader = node;
        vacantAt = 0;
        if (!node.equals(settings.node())) {
            return;
        }
        if (!value.path("incarnation").asText().equals(incarnation)) {
            // This node's earlier process is gone, since this one has its address: no need to wait
            // for its lease.
            knownLeader = null;
            LOG.info("ending the lease of an earlier process of this node");
            store.revoke(entry.lease(), () -> store.get(KEY, this::seen));
        } else if (entry.lease() == lease) {
            // A campaign whose answer was lost has been won after all.
            won(entry.version());
        }
    }

    private void campaign() {
        transition(State.CAMPAIGNING);
        double asked = loop.now();
        store.grant(
                timing.leaderTtlS(),
                granted -> {
                    if (granted == 0) {
                        transition(State.FOLLOWING);
                        return;
                    }
                    lease = granted;
                    validUntil = asked + timing.leaderTtlS();
                    JsonNode value =
                            Json.newObject()
                                    .put("v", 1)
                                    .put("node", settings.node())
                                    .put("incarnation", incarnation)
                                    .put("api", settings.listen())
                                    .put("peer", settings.peerListen());
                    store.commit(
                            List.of(new Condition(KEY, 0)),
                            List.of(new Write(KEY, value, granted)),
                            result -> {
                                if (state != State.CAMPAIGNING) {
                                    return;
                                }
                                if (result.outcome() == Outcome.COMMITTED) {
                                    won(result.revision());
                                } else {
                                    transition(State.FOLLOWING);
                                    // Whoever won is found out at once; so is an own win whose
                                    // answer was lost.
                                    store.get(KEY, this::seen);
                                }
                            });
                });
    }

    private void won(long revision) {
        if (loop.now() >= validUntil) {
            transition(State.FOLLOWING);
            return;
        }
        term = revision;
        knownTerm = Math.max(knownTerm, revision);
        knownLeader = settings.node();
        vacantAt = 0;
        transition(State.LEADING);
    }

    private void watch() {
        if (watchFrom == 0) {
            store.list(
                    KEY,
                    page -> {
                        if (page == null) {
                            loop.after(timing.renewS(), this::watch);
                        } else {
                            watchFrom = Math.max(1, page.revision());
                            watch();
                        }
                    });
            return;
        }
        store.changes(
                KEY,
                watchFrom,
                timing.leaseS(),
                result -> {
                    if (result.changes() != null) {
                        watchFrom = Math.max(watchFrom, result.changes().revision());
                        for (Change change : result.changes().changes()) {
                            changed(change);
                        }
                        watch();
                    } else {
                        watchFrom = result.tooOld() ? 0 : watchFrom;
                        loop.after(timing.renewS(), this::watch);
                    }
                });
    }

    private void changed(Change change) {
        if (change.value() == null) {
            if (holdsTerm() && change.version() > term) {
                deposed("its record is gone");
            }
            knownLeader = null;
            vacantAt = change.version();
            if (state == State.FOLLOWING) {
                store.get(KEY, this::seen);
            }
        } else if (change.version() > term && holdsTerm()) {
            deposed("another controller has taken over");
        } else if (state == State.FOLLOWING && change.version() > knownTerm) {
            knownTerm = change.version();
            vacantAt = 0;
            knownLeader = change.value().path("node").asText();
        }
    }
}
