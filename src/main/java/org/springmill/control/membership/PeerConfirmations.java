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
    private final Map<String, Answer> answers = new HashMap<>();
    private double countedFrom = Double.NEGATIVE_INFINITY;

    /** A peer's response, with the times of request and response on this controller's clock. */
    record Answer(double askedAt, double receivedAt, PeerStatus status) {}

    /**
     * @param nodes all other controllers
     */
    PeerConfirmations(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        this.nodes = nodes;
    }

    /** Records a response to a request that was sent at the given time. */
    void recordAnswer(double askedAt, PeerStatus status) {
        answers.put(status.from(), new Answer(askedAt, loop.now(), status));
    }

    /** The latest response of a peer, however old. */
    Optional<Answer> latest(String node) {
        return Optional.ofNullable(answers.get(node));
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
    boolean quorumMissesLeader(long term) {
        return isQuorum(
                node ->
                        confirmationOfOutage(node, term)
                                .filter(PeerStatus::hasReadLeaderRecord)
                                .filter(PeerStatus::leaderSilent)
                                .isPresent());
    }

    /** The status with which a peer recently confirmed an outage; empty if it did not. */
    private Optional<PeerStatus> confirmationOfOutage(String node, long term) {
        return latest(node)
                .filter(this::isRecent)
                .map(Answer::status)
                .filter(status -> !status.storeReachable() && status.term() <= term);
    }

    /** Whether a quorum knows a term. Terms only increase, so that responses of any age count. */
    boolean quorumKnows(long term) {
        return isQuorum(
                node -> latest(node).filter(answer -> answer.status().term() >= term).isPresent());
    }

    private boolean isQuorum(Predicate<String> condition) {
        long withThisOne = nodes.stream().filter(condition).count() + 1;
        int controllers = nodes.size() + 1;
        return 2 * withThisOne > controllers;
    }

    /** Whether every peer has responded recently. */
    boolean allPeersResponded() {
        return nodes.stream().allMatch(node -> latest(node).filter(this::isRecent).isPresent());
    }

    /** Whether some peer recently reached the key-value store. */
    boolean anyReachesStore() {
        return answers.values().stream()
                .anyMatch(answer -> isRecent(answer) && answer.status().storeReachable());
    }

    /** Whether the latest response of some peer, however old, says that it keeps no job history. */
    boolean anyWithoutHistory() {
        return answers.values().stream().anyMatch(answer -> !answer.status().keepsHistory());
    }

    /** Whether a peer recently reported that it leads. */
    boolean anyLeads() {
        return answers.values().stream()
                .anyMatch(answer -> isRecent(answer) && answer.status().leading());
    }

    /** The largest number of workers that any one peer recently redirected. */
    int maxRedirectedWorkers() {
        return answers.values().stream()
                .filter(this::isRecent)
                .mapToInt(answer -> answer.status().redirectedWorkers())
                .max()
                .orElse(0);
    }

    /**
     * The latest time at which a peer confirmed an outage or renewed a worker's lease, or until
     * which it may continue to renew leases.
     */
    double lastConfirmationOfPeers() {
        return answers.values().stream()
                .mapToDouble(PeerConfirmations::lastConfirmation)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    private static double lastConfirmation(Answer answer) {
        double agoSeconds = answer.status().confirmedMillisecondsAgo() / MILLISECONDS_PER_SECOND;
        double maxDriftSeconds = Math.abs(agoSeconds) * CLOCK_DRIFT_RATIO;
        return answer.receivedAt() - agoSeconds + maxDriftSeconds;
    }

    /**
     * Disregards responses to requests sent before a time, except where responses of any age count.
     */
    void discardAnswersBefore(double time) {
        countedFrom = time;
    }

    private boolean isRecent(Answer answer) {
        return answer.askedAt() >= countedFrom
                && loop.now() - answer.askedAt() < timeouts.peerConfirmationValiditySeconds();
    }
}
