package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.Progress;
import org.springmill.protocol.PeerMessages.Status;
import org.springmill.protocol.Settings;
import org.springmill.transport.Loop;
import org.springmill.transport.PeerLink;

/** What the other controllers say of themselves, dated by this one's clock: by when each was asked. */
final class Peers {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);

    private final PeerLink link;
    private final Loop loop;
    private final Settings settings;
    private final Timing timing;
    private final Supplier<Status> self;
    private final Map<String, Word> words = new HashMap<>();
    private final Map<Long, Double> asked = new HashMap<>();
    private Consumer<Progress> onProgress = p -> { };
    private double lastConfirmed = Double.NEGATIVE_INFINITY;
    private long question;

    /** A peer's latest answer. */
    private record Word(double askedAt, boolean stateReachable, boolean leading, long term) {
    }

    /** @param self gives what this controller says of itself; its numbers are filled in here */
    Peers(PeerLink link, Loop loop, Settings settings, Timing timing, Supplier<Status> self) {
        this.link = link;
        this.loop = loop;
        this.settings = settings;
        this.timing = timing;
        this.self = self;
        link.onRecord(this::received);
    }

    void start() {
        question++;
        asked.put(question, loop.now());
        asked.values().removeIf(at -> at < loop.now() - timing.confirmS());
        Status status = self.get();
        for (String node : settings.peers().keySet()) {
            send(node, new Status(settings.node(), question, 0, status.stateReachable(), status.leading(), status.term()));
        }
        loop.after(timing.pingS(), this::start);
    }

    void onProgress(Consumer<Progress> taker) {
        onProgress = taker;
    }

    void broadcast(Progress progress) {
        settings.peers().keySet().forEach(node -> send(node, progress));
    }

    private void send(String node, PeerRecord message) {
        link.send(node, PeerMessages.encode(message));
    }

    private void received(byte[] bytes) {
        try {
            PeerRecord message = PeerMessages.decode(bytes);
            if (message instanceof Status status && settings.peers().containsKey(status.from())) {
                if (status.echo() == 0) {
                    answer(status);
                } else {
                    Double at = asked.get(status.echo());
                    if (at != null) {
                        words.put(status.from(), new Word(at, status.stateReachable(), status.leading(), status.term()));
                    }
                }
            } else if (message instanceof Progress progress) {
                onProgress.accept(progress);
            }
        } catch (BadMessageException e) {
            LOG.warn("{}", e.getMessage());
        }
    }

    private void answer(Status to) {
        Status status = self.get();
        if (!status.stateReachable()) {
            lastConfirmed = loop.now();
        }
        send(to.from(), new Status(settings.node(), 0, to.question(), status.stateReachable(), status.leading(), status.term()));
    }

    private boolean recent(Word word) {
        return word != null && loop.now() - word.askedAt() < timing.confirmS();
    }

    /** Whether every other controller lately said that it cannot reach the state service and knows no newer leader. */
    boolean allConfirmOutage(long term) {
        for (String node : settings.peers().keySet()) {
            Word word = words.get(node);
            if (!recent(word) || word.stateReachable() || word.term() > term) {
                return false;
            }
        }
        return true;
    }

    boolean someReachState() {
        return words.values().stream().anyMatch(w -> recent(w) && w.stateReachable());
    }

    /** Whether a peer lately said that it leads; the peer's node, or null. */
    String leadingPeer() {
        for (Map.Entry<String, Word> e : words.entrySet()) {
            if (recent(e.getValue()) && e.getValue().leading()) {
                return e.getKey();
            }
        }
        return null;
    }

    boolean heard(String node) {
        return recent(words.get(node));
    }

    long highestTerm() {
        return words.values().stream().mapToLong(Word::term).max().orElse(0);
    }

    /** Until when another controller may renew leases on the strength of this one's word. */
    double othersMayRenewUntil() {
        return lastConfirmed + timing.confirmS() * 1.002;
    }
}
