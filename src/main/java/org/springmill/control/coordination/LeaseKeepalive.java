package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.transport.Loop;

/**
 * Decides whether a controller that may not lead keeps a worker's lease all the same, ordering
 * nothing: because nobody leads, or because nobody who leads can act on this worker's silence.
 * Leaders elsewhere allow for it; docs/design.md has the argument.
 */
final class LeaseKeepalive {
    private final StateStore store;
    private final Peers peers;
    private final Leadership leadership;
    private final Loop loop;
    private final Timing timing;
    private final CancellationFreshness horizon;

    /** Tokens with which workers first came here in the present spell of loneliness. */
    private final Map<String, Long> firstTokens = new HashMap<>();

    /** When this controller last heard of anyone before that spell. */
    private double aloneSince = Double.NEGATIVE_INFINITY;

    /** Zones whose workers came here in that spell. */
    private final Set<String> zones = new HashSet<>();

    private double reachedAt = Double.NEGATIVE_INFINITY;

    LeaseKeepalive(
            StateStore store,
            Peers peers,
            Leadership leadership,
            CancellationFreshness horizon,
            Loop loop,
            Timing timing) {
        this.horizon = horizon;
        this.store = store;
        this.peers = peers;
        this.leadership = leadership;
        this.loop = loop;
        this.timing = timing;
    }

    /**
     * @param holdsTerm whether this controller was elected and has not yet learned of a later term
     */
    boolean keeps(Report report, boolean holdsTerm) {
        boolean alone = !store.reachable() && alone();
        if (alone) {
            zones.add(report.zone());
        }
        boolean keeps =
                leadership.vacant()
                        || (!holdsTerm && peers.helps())
                        || (!store.reachable() && !holdsTerm && onTheWordOfOthers())
                        || (alone && unclaimed(report));
        keeps &= horizon.covers() || (alone && zoneIsCutOff());
        if (keeps) {
            peers.stoodIn();
        }
        return keeps;
    }

    private boolean onTheWordOfOthers() {
        long term = leadership.knownTerm();
        boolean witnessed =
                peers.allConfirmOutage(term)
                        || (leadership.informed() && peers.mostMissTheLeader(term));
        return witnessed && !peers.someLead();
    }

    /**
     * Cut off from the state service and from every other controller, as all are in a zone that is
     * cut off.
     */
    private boolean alone() {
        double since = Math.max(peers.lastHeard(), store.lastServed());
        if (since != aloneSince) {
            // Tokens remembered from an earlier cut made every worker that a leader had since
            // commanded seem to be
            // within a leader's reach: in a second cut of the zone all of them were sent away until
            // their leases ended.
            aloneSince = since;
            firstTokens.clear();
            zones.clear();
        }
        return loop.now() - since > timing.wordS();
    }

    /** Users, or whoever looks after their connections, reached this controller. */
    void reachedByUsers() {
        reachedAt = loop.now();
    }

    /**
     * Whether the zone around this controller is cut off rather than this controller alone: then a
     * leader outside removes through the cloud what was cancelled there. One that users or the
     * workers of several zones still reach is itself what is cut off, and one that the state
     * service refuses may be in the middle of an outage; nobody is then sure to remove what it
     * keeps.
     */
    private boolean zoneIsCutOff() {
        return zones.size() == 1 && reachedAt < aloneSince + timing.wordS() && !store.refuses();
    }

    /** A worker whose token has risen is within some leader's reach and should report there. */
    private boolean unclaimed(Report report) {
        long first = firstTokens.computeIfAbsent(report.machine(), m -> report.token());
        boolean laterTerm =
                leadership.knownTerm() > 0
                        && Machine.termOf(report.token()) > leadership.knownTerm();
        return report.token() <= first && !laterTerm;
    }
}
