package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/** For each peer, the time up to which the cancellations that it confirmed to users are known. */
final class PeerCancellations {
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Set<String> nodes;

    /**
     * By peer: the cursor for the cancellations it has sent, in a format known only to the peer.
     */
    private final Map<String, Long> cursors = new HashMap<>();

    private final Map<String, KnownCancellations> knownByNode = new HashMap<>();

    /**
     * The cancellations of a peer that are known here.
     *
     * @param until all cancellations that the peer confirmed to users before this time are known
     * @param storeReachable whether the peer reached the key-value store, and so could confirm any,
     *     at that time
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

    /** The last cursor received from a peer; 0 if none. */
    long cursor(String node) {
        return cursors.getOrDefault(node, 0L);
    }

    /** Stores the cursor of a response, whichever request it answers. */
    void cursorReceived(PeerStatus response) {
        cursors.put(response.from(), response.cancellationDelta().cursor());
    }

    /** Records a response to a request that was sent at the given time. */
    void recordResponse(double requestedAt, PeerStatus response) {
        boolean knowsAllItConfirmed =
                response.cancellationDelta().hasReadJobRecords()
                        || confirmedNothingSince(response, requestedAt);
        if (response.cancellationDelta().complete() && knowsAllItConfirmed) {
            knownByNode.put(
                    response.from(),
                    new KnownCancellations(requestedAt, response.storeReachable()));
        }
    }

    /**
     * Whether a peer that was restarted during an outage, and has not read the job records since,
     * confirmed no unknown cancellations before its restart. This is assumed if it could not reach
     * the key-value store in its previous complete response, still cannot, and the time between is
     * short. Otherwise the crash of one controller in a long outage would let the leases of the
     * whole fleet expire.
     */
    private boolean confirmedNothingSince(PeerStatus response, double requestedAt) {
        KnownCancellations before = knownByNode.get(response.from());
        return before != null
                && !before.storeReachable()
                && !response.storeReachable()
                && requestedAt - before.until()
                        < timeouts.cancellationKnowledgeValiditySeconds() / 2;
    }

    /** Time up to which all cancellations that peers confirmed to users are known here. */
    double cancellationsKnownUntil() {
        return nodes.stream().mapToDouble(this::cancellationsKnownUntil).min().orElse(loop.now());
    }

    private double cancellationsKnownUntil(String node) {
        KnownCancellations known = knownByNode.get(node);
        return known == null ? Double.NEGATIVE_INFINITY : known.until();
    }
}
