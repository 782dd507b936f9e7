package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.Cancelled;
import org.springmill.protocol.PeerMessages.News;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.Progress;
import org.springmill.protocol.PeerMessages.Status;
import org.springmill.protocol.Settings;
import org.springmill.transport.Loop;
import org.springmill.transport.PeerLink;

/**
 * What the other controllers say of themselves, dated by this one's clock: by when each was asked.
 */
final class Peers implements PeerLink.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);

    private final PeerLink link;
    private final Loop loop;
    private final Settings settings;
    private final Timing timing;
    private final Supplier<Status> self;
    private final JobDirectory directory;

    /**
     * How far each of the others has told its cancellations; only it can read its own bookmarks.
     */
    private final Map<String, Long> bookmarks = new HashMap<>();

    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Word> words = new HashMap<>();
    private final Map<Long, Double> asked = new HashMap<>();
    private Consumer<Progress> onProgress = p -> {};
    private Consumer<Status> onSilentRefusal = status -> {};
    private double lastWitness;
    private double lastLeaderHeard;
    private double lastHeard;
    private double helpsUntil = Double.NEGATIVE_INFINITY;
    private long question;
    private long highestTerm;

    /** A peer's latest answer. */
    private record Word(double askedAt, double receivedAt, Status status) {}

    /**
     * Up to when a peer has told all that it confirmed, and whether it could then have confirmed
     * anything at all.
     */
    private record Told(double until, boolean reachedState) {}

    /**
     * @param self gives what this controller says of itself; its numbers are filled in here
     */
    Peers(
            PeerLink link,
            Loop loop,
            Settings settings,
            Timing timing,
            JobDirectory directory,
            Supplier<Status> self) {
        this.directory = directory;
        this.link = link;
        this.loop = loop;
        this.settings = settings;
        this.timing = timing;
        this.self = self;
        // An earlier process of this node may have borne witness until just now.
        this.lastWitness = loop.now();
        this.lastLeaderHeard = loop.now();
        this.lastHeard = loop.now();
        // Nor may answers to its questions, still on the way, be taken for answers to this one's.
        this.question = (long) (loop.timeOfDay() * 1e6);
    }

    /**
     * Takes records only from here on: one that came while the controller was still being put
     * together broke it.
     */
    void start() {
        link.onRecord(this);
        ask();
    }

    private void ask() {
        question++;
        asked.put(question, loop.now());
        asked.values().removeIf(at -> at < loop.now() - timing.confirmS());
        Status status = self.get();
        for (String node : settings.peers().keySet()) {
            send(
                    node,
                    numbered(
                            status,
                            question,
                            0,
                            directory.known(bookmarks.getOrDefault(node, 0L))));
        }
        loop.after(timing.pingS(), this::ask);
    }

    void onProgress(Consumer<Progress> taker) {
        onProgress = taker;
    }

    /**
     * Tells of a cancellation committed here, before its user is told: a leader may be unable to
     * read of it.
     */
    void tell(Cancellation cancellation) {
        settings.peers()
                .keySet()
                .forEach(node -> send(node, new Cancelled(settings.node(), List.of(cancellation))));
    }

    void broadcast(Progress progress) {
        settings.peers().keySet().forEach(node -> send(node, progress));
    }

    private void send(String node, PeerRecord message) {
        link.send(node, PeerMessages.encode(message));
    }

    @Override
    public void received(byte[] bytes) {
        try {
            PeerRecord message = PeerMessages.decode(bytes);
            if (message instanceof Status status && settings.peers().containsKey(status.from())) {
                if (status.term() > highestTerm) {
                    highestTerm = status.term();
                    helpsUntil = loop.now() + timing.helpS();
                }
                lastHeard = loop.now();
                if (status.leading()) {
                    lastLeaderHeard = loop.now();
                }
                status.news().cancellations().forEach(directory::learn);
                if (status.echo() == 0) {
                    answer(status);
                } else {
                    bookmarks.put(status.from(), status.news().bookmark());
                    Double at = asked.get(status.echo());
                    if (at != null) {
                        words.put(status.from(), new Word(at, loop.now(), status));
                        if (status.news().complete()
                                && (status.news().informed() || wasRefused(status, at))) {
                            told.put(status.from(), new Told(at, status.stateReachable()));
                        }
                    }
                }
            } else if (message instanceof Cancelled cancelled
                    && settings.peers().containsKey(cancelled.from())) {
                cancelled.cancellations().forEach(directory::learn);
            } else if (message instanceof Progress progress) {
                onProgress.accept(progress);
            }
        } catch (BadMessageException e) {
            LOG.warn("{}", e.getMessage());
        }
    }

    @Override
    public void refused(String node) {
        Word word = words.get(node);
        if (word != null
                && word.status().leading()
                && loop.now() - word.askedAt() > 2 * timing.pingS()) {
            onSilentRefusal.accept(word.status());
        }
    }

    /**
     * Told of a node that refuses connections and has not answered for some time, with the last
     * that it said, if that was that it leads. One that never said so in its present term may
     * merely be behind a packet filter: deposing every leader that refuses let a filter between
     * controllers end term after term.
     */
    void onSilentRefusal(Consumer<Status> taker) {
        onSilentRefusal = taker;
    }

    private void answer(Status to) {
        Status status = self.get();
        // A word of one that hears a leader is of use only together with that leader's own, which
        // it remembers itself.
        if (!status.stateReachable() && (leaderSilent() || status.leading())) {
            lastWitness = loop.now();
        }
        send(to.from(), numbered(status, 0, to.question(), directory.lackedBy(to.news())));
    }

    /**
     * What is said never falls behind what was heard: an answer that names a term is a promise to
     * know it from then on.
     */
    private Status numbered(Status status, long number, long echo, News news) {
        return new Status(
                settings.node(),
                number,
                echo,
                status.stateReachable(),
                status.leading(),
                status.informed(),
                status.workers(),
                leaderSilent(),
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                (loop.now() - Math.max(lastWitness, helpsUntil)) * 1000),
                Math.max(highestTerm, status.term()),
                news);
    }

    private boolean recent(Word word) {
        return word != null && loop.now() - word.askedAt() < timing.confirmS();
    }

    /**
     * Whether every other controller lately said that it cannot reach the state service and knows
     * no newer leader.
     */
    boolean allConfirmOutage(long term) {
        return settings.peers().keySet().stream().allMatch(node -> confirms(node, term, false));
    }

    /**
     * Whether, with this one, most controllers say so. Enough for a leader that is still in office:
     * whoever takes over waits for most controllers to know of it, and the two majorities share
     * one. A controller that was restarted and has read nothing since does not count, for it may
     * have forgotten what it promised.
     */
    boolean mostConfirmOutage(long term) {
        return isMost(
                settings.peers().keySet().stream()
                        .filter(node -> confirms(node, term, true))
                        .count());
    }

    /**
     * Whether, with this one, most controllers say so and none of them has heard of a leader for
     * some time: then any leader there may be has no majority to prove anything by silence with.
     */
    boolean mostMissTheLeader(long term) {
        return leaderSilent()
                && isMost(
                        settings.peers().keySet().stream()
                                .filter(
                                        node ->
                                                confirms(node, term, true)
                                                        && words.get(node).status().leaderSilent())
                                .count());
    }

    private boolean leaderSilent() {
        return loop.now() - lastLeaderHeard > timing.unheardS();
    }

    /**
     * Whatever the other controllers confirmed to their users before this moment, they have told
     * here.
     */
    double toldUntil() {
        return settings.peers().keySet().stream()
                .mapToDouble(
                        node ->
                                told.containsKey(node)
                                        ? told.get(node).until()
                                        : Double.NEGATIVE_INFINITY)
                .min()
                .orElse(loop.now());
    }

    /**
     * Whether a peer that was started in an outage, and has read nothing since, can be taken to
     * have confirmed nothing untold in its earlier life: it could not reach the state service when
     * last heard then, nor can it now, and there was little time between. Otherwise a crash in a
     * long outage would end the leases of the whole fleet.
     */
    private boolean wasRefused(Status status, double askedAt) {
        Told before = told.get(status.from());
        return before != null
                && !before.reachedState()
                && !status.stateReachable()
                && askedAt - before.until() < timing.unknowingS() / 2;
    }

    /** When any other controller was last heard of. */
    double lastHeard() {
        return lastHeard;
    }

    /** Whether every other controller has lately answered this one. */
    boolean allHeard() {
        return settings.peers().keySet().stream().allMatch(node -> recent(words.get(node)));
    }

    /**
     * Notes that a worker's lease was renewed on the word of others, though nobody is known to
     * lead.
     */
    void stoodIn() {
        lastWitness = loop.now();
    }

    /**
     * Whether a new term was heard of so lately that this controller still helps its leader: it
     * keeps the workers that come to it, rather than send them all on to one controller that has
     * just begun. It says until when in its answers.
     */
    boolean helps() {
        return loop.now() < helpsUntil;
    }

    private boolean confirms(String node, long term, boolean hasToBeInformed) {
        Word word = words.get(node);
        return recent(word)
                && !word.status().stateReachable()
                && word.status().term() <= term
                && (word.status().informed() || !hasToBeInformed);
    }

    /** Whether most controllers, with this one, know of a term. */
    boolean mostKnow(long term) {
        return isMost(words.values().stream().filter(w -> w.status().term() >= term).count());
    }

    private boolean isMost(long others) {
        return 2 * (others + 1) > settings.peers().size() + 1;
    }

    boolean someReachState() {
        return words.values().stream().anyMatch(w -> recent(w) && w.status().stateReachable());
    }

    /** Whether a peer lately said that it leads. */
    boolean someLead() {
        return words.values().stream().anyMatch(w -> recent(w) && w.status().leading());
    }

    /**
     * The greatest number of workers that one of the others lately heard, though it does not lead.
     */
    int workersElsewhere() {
        return words.values().stream()
                .filter(this::recent)
                .mapToInt(w -> w.status().workers())
                .max()
                .orElse(0);
    }

    long highestTerm() {
        return highestTerm;
    }

    /**
     * Until when other controllers may have renewed leases although this one leads. Unknown, and so
     * without end, unless all of them have lately answered this one: having heard it they stand in
     * for none. One that does not answer may be alone with the workers of a zone that is cut off
     * and keep their leases for as long as the cut lasts.
     */
    double othersMayRenewUntil() {
        if (!allHeard()) {
            return Double.POSITIVE_INFINITY;
        }
        double latest = lastWitness;
        for (Word word : words.values()) {
            double ago = word.status().witnessAgoMs() / 1000.0;
            // Its clock may run at another pace, and a time still to come counts as longer rather
            // than shorter.
            latest = Math.max(latest, word.receivedAt() - ago + Math.abs(ago) * 0.002);
        }
        return latest + timing.wordS();
    }
}
