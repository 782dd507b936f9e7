package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/** Up to when the cancellations that each peer has confirmed to users are known here. */
final class PeerCancellations {
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Set<String> nodes;

    /** By peer: its cursor of what it has sent here, which only the peer itself can read. */
    private final Map<String, Long> cursors = new HashMap<>();

    private final Map<String, KnownCancellations> knownByNode = new HashMap<>();

    /**
     * The cancellations of a peer that are known here.
     *
     * @param until all that the peer confirmed to users before this time are known
     * @param storeReachable whether the peer could confirm any at that time
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

    /** The cursor that a peer handed out last; 0 if none. */
    long cursor(String node) {
        return cursors.getOrDefault(node, 0L);
    }

    /** Takes the cursor of an answer, whichever question it answers. */
    void cursorReceived(PeerStatus answer) {
        cursors.put(answer.from(), answer.cancellationDelta().cursor());
    }

    /** Notes an answer to a question sent at the time given. */
    void recordAnswer(double askedAt, PeerStatus answer) {
        boolean hasForgottenNone =
                answer.cancellationDelta().hasReadJobRecords()
                        || confirmedNothingSince(answer, askedAt);
        if (answer.cancellationDelta().complete() && hasForgottenNone) {
            knownByNode.put(
                    answer.from(), new KnownCancellations(askedAt, answer.storeReachable()));
        }
    }

    /**
     * Whether a peer that was started in an outage, and has read nothing since, can be taken to
     * have confirmed nothing unknown here before its restart: it could not reach the key-value
     * store when last heard from, nor can it now, and there was little time between. Otherwise a
     * crash in a long outage would let the leases of the whole fleet expire.
     */
    private boolean confirmedNothingSince(PeerStatus answer, double askedAt) {
        KnownCancellations before = knownByNode.get(answer.from());
        return before != null
                && !before.storeReachable()
                && !answer.storeReachable()
                && askedAt - before.until() < timeouts.cancellationKnowledgeValiditySeconds() / 2;
    }

    /** Whatever peers confirmed to their users before this time is known here. */
    double cancellationsKnownUntil() {
        return nodes.stream().mapToDouble(this::cancellationsKnownUntil).min().orElse(loop.now());
    }

    private double cancellationsKnownUntil(String node) {
        KnownCancellations known = knownByNode.get(node);
        return known == null ? Double.NEGATIVE_INFINITY : known.until();
    }
}
