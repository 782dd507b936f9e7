package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/** How far each peer has told the cancellations that it knows of. */
final class PeerCancellations {
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Set<String> nodes;

    /** Where each peer goes on telling; only it can read its own bookmark. */
    private final Map<String, Long> cursors = new HashMap<>();

    private final Map<String, KnownCancellations> knownByNode = new HashMap<>();

    /**
     * Up to when a peer has told all that it confirmed to users, and whether it could then have
     * confirmed anything at all.
     */
    private record KnownCancellations(double until, boolean storeReachable) {}

    /**
     * @param nodes all other controllers
     */
    PeerCancellations(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        this.nodes = nodes;
    }

    /** The bookmark that a peer handed out last; 0 if none. */
    long cursor(String node) {
        return cursors.getOrDefault(node, 0L);
    }

    void cursorReceived(PeerStatus answer) {
        cursors.put(answer.from(), answer.cancellationDelta().cursor());
    }

    /** Notes an answer to a question of the time given. */
    void recordAnswer(double askedAt, PeerStatus answer) {
        boolean remembers =
                answer.cancellationDelta().hasReadJobRecords()
                        || confirmedNothingSince(answer, askedAt);
        if (answer.cancellationDelta().complete() && remembers) {
            knownByNode.put(
                    answer.from(), new KnownCancellations(askedAt, answer.storeReachable()));
        }
    }

    /**
     * Whether a peer that was started in an outage, and has read nothing since, can be taken to
     * have confirmed nothing untold in its earlier life: it could not reach the key-value store
     * when last heard then, nor can it now, and there was little time between. Otherwise a crash in
     * a long outage would end the leases of the whole fleet.
     */
    private boolean confirmedNothingSince(PeerStatus answer, double askedAt) {
        KnownCancellations before = knownByNode.get(answer.from());
        return before != null
                && !before.storeReachable()
                && !answer.storeReachable()
                && askedAt - before.until() < timeouts.cancellationKnowledgeValiditySeconds() / 2;
    }

    /** Whatever peers confirmed to their users before this moment, they have told here. */
    double cancellationsKnownUntil() {
        return nodes.stream().mapToDouble(this::cancellationsKnownUntil).min().orElse(loop.now());
    }

    private double cancellationsKnownUntil(String node) {
        KnownCancellations told = knownByNode.get(node);
        return told == null ? Double.NEGATIVE_INFINITY : told.until();
    }
}
