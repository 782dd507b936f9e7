package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.transport.EventLoop;

/**
 * The latest response of each peer, and the conclusions from all of them. The age of a response
 * counts from the sending of its request, on this controller's clock; a response is only relied on
 * while it is recent. A quorum is more than half of all controllers, including this one.
 */
final class PeerConfirmations {
    /**
     * Twice the drift of two clocks against each other: times reported by a peer are rounded up.
     */
    private static final double CLOCK_DRIFT_RATIO = 0.002;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Set<String> nodes;
    private final Map<String, Response> responses = new HashMap<>();
    private double validFrom = Double.NEGATIVE_INFINITY;

    /** A peer's response, with the times of request and response on this controller's clock. */
    record Response(double requestedAt, double receivedAt, PeerStatus status) {}

    /**
     * @param nodes all other controllers
     */
    PeerConfirmations(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        this.nodes = nodes;
    }

    /** Records a response to a request that was sent at the given time. */
    void recordResponse(double requestedAt, PeerStatus status) {
        responses.put(status.from(), new Response(requestedAt, loop.now(), status));
    }

    /** The latest response of a peer, however old. */
    Optional<Response> latest(String node) {
        return Optional.ofNullable(responses.get(node));
    }

    /**
     * Whether every peer recently confirmed that it cannot reach the key-value store and knows no
     * newer leader.
     */
    boolean allConfirmOutage(long term) {
        return nodes.stream().allMatch(node -> confirmationOfOutage(node, term).isPresent());
    }

    /**
     * Whether a quorum confirms that. This suffices for a leader that holds its term: a new leader
     * waits until a quorum knows the new term, and any two quorums share a controller. A controller
     * that has not read the leader record since its restart does not count, since it no longer
     * knows what it confirmed before.
     */
    boolean quorumConfirmsOutage(long term) {
        return isQuorum(
                node ->
                        confirmationOfOutage(node, term)
                                .filter(PeerStatus::hasReadLeaderRecord)
                                .isPresent());
    }

    /** Whether a quorum confirms that and has not received anything from a leader for some time. */
    boolean quorumSuspectsLeader(long term) {
        return isQuorum(
                node ->
                        confirmationOfOutage(node, term)
                                .filter(PeerStatus::hasReadLeaderRecord)
                                .filter(PeerStatus::leaderSuspected)
                                .isPresent());
    }

    /** The status with which a peer recently confirmed an outage; empty if it did not. */
    private Optional<PeerStatus> confirmationOfOutage(String node, long term) {
        return latest(node)
                .filter(this::isRecent)
                .map(Response::status)
                .filter(status -> !status.storeReachable() && status.term() <= term);
    }

    /** Whether a quorum knows a term. Terms only increase, so that responses of any age count. */
    boolean quorumKnows(long term) {
        return isQuorum(
                node ->
                        latest(node)
                                .filter(response -> response.status().term() >= term)
                                .isPresent());
    }

    private boolean isQuorum(Predicate<String> condition) {
        long confirming = nodes.stream().filter(condition).count() + 1;
        int controllers = nodes.size() + 1;
        return 2 * confirming > controllers;
    }

    /** Whether every peer has responded recently. */
    boolean allPeersResponded() {
        return nodes.stream().allMatch(node -> latest(node).filter(this::isRecent).isPresent());
    }

    /** Whether some peer recently reached the key-value store. */
    boolean anyReachesStore() {
        return responses.values().stream()
                .anyMatch(response -> isRecent(response) && response.status().storeReachable());
    }

    /** Whether the latest response of some peer, however old, says that it keeps no job history. */
    boolean anyWithoutHistory() {
        return responses.values().stream().anyMatch(response -> !response.status().keepsHistory());
    }

    /** Whether a peer recently reported that it leads. */
    boolean anyLeads() {
        return responses.values().stream()
                .anyMatch(response -> isRecent(response) && response.status().leading());
    }

    /** The largest number of workers that any one peer recently redirected. */
    int maxRedirectedWorkers() {
        return responses.values().stream()
                .filter(this::isRecent)
                .mapToInt(response -> response.status().redirectedWorkers())
                .max()
                .orElse(0);
    }

    /**
     * The latest time at which a peer confirmed an outage or renewed a worker's lease, or until
     * which it may continue to renew leases.
     */
    double lastConfirmationOfPeers() {
        return responses.values().stream()
                .mapToDouble(PeerConfirmations::lastConfirmation)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    private static double lastConfirmation(Response response) {
        double agoSeconds =
                response.status().millisecondsSinceConfirmation() / MILLISECONDS_PER_SECOND;
        double maxDriftSeconds = Math.abs(agoSeconds) * CLOCK_DRIFT_RATIO;
        return response.receivedAt() - agoSeconds + maxDriftSeconds;
    }

    /**
     * Disregards responses to requests sent before a time, except where responses of any age count.
     */
    void disregardResponsesBefore(double time) {
        validFrom = time;
    }

    private boolean isRecent(Response response) {
        return response.requestedAt() >= validFrom
                && loop.now() - response.requestedAt() < timeouts.peerConfirmationValiditySeconds();
    }
}
