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
 * The latest answer of each peer, and what follows from all of them together. An answer is dated on
 * this controller's clock by when its question was sent, and confirms anything only while it is
 * recent. A quorum is more than half of all controllers, this one included.
 */
final class PeerConfirmations {
    /**
     * The drift of two clocks against each other, doubled: a peer's account of a time counts as
     * later rather than earlier.
     */
    private static final double CLOCK_DRIFT_RATIO = 0.002;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Set<String> nodes;
    private final Map<String, Answer> answers = new HashMap<>();
    private double countedFrom = Double.NEGATIVE_INFINITY;

    /** A peer's answer, with the time of the question and that of the answer on this clock. */
    record Answer(double askedAt, double receivedAt, PeerStatus status) {}

    /**
     * @param nodes all other controllers
     */
    PeerConfirmations(EventLoop loop, Timeouts timeouts, Set<String> nodes) {
        this.loop = loop;
        this.timeouts = timeouts;
        this.nodes = nodes;
    }

    /** Notes an answer to a question sent at the time given. */
    void recordAnswer(double askedAt, PeerStatus status) {
        answers.put(status.from(), new Answer(askedAt, loop.now(), status));
    }

    /** The latest answer of a peer, however old. */
    Optional<Answer> latest(String node) {
        return Optional.ofNullable(answers.get(node));
    }

    /**
     * Whether every peer lately confirmed that it cannot reach the key-value store and knows no
     * newer leader.
     */
    boolean allConfirmOutage(long term) {
        return nodes.stream().allMatch(node -> confirmationOfOutage(node, term).isPresent());
    }

    /**
     * Whether a quorum confirms that. Enough for a leader that holds its term: whoever takes over
     * waits until a quorum knows of the new term, and two quorums share a controller. A controller
     * that was restarted and has not read the leader record since does not count, for it may have
     * forgotten what it confirmed.
     */
    boolean quorumConfirmsOutage(long term) {
        return isQuorum(
                node ->
                        confirmationOfOutage(node, term)
                                .filter(PeerStatus::hasReadLeaderRecord)
                                .isPresent());
    }

    /** Whether a quorum confirms that and has not heard from a leader for some time either. */
    boolean quorumMissesLeader(long term) {
        return isQuorum(
                node ->
                        confirmationOfOutage(node, term)
                                .filter(PeerStatus::hasReadLeaderRecord)
                                .filter(PeerStatus::leaderSilent)
                                .isPresent());
    }

    /** The status by which a peer lately confirmed an outage; empty if it did not. */
    private Optional<PeerStatus> confirmationOfOutage(String node, long term) {
        return latest(node)
                .filter(this::isRecent)
                .map(Answer::status)
                .filter(status -> !status.storeReachable() && status.term() <= term);
    }

    /** Whether a quorum knows of a term. Terms only rise, so that answers of any age count. */
    boolean quorumKnows(long term) {
        return isQuorum(
                node -> latest(node).filter(answer -> answer.status().term() >= term).isPresent());
    }

    private boolean isQuorum(Predicate<String> condition) {
        long withThisOne = nodes.stream().filter(condition).count() + 1;
        int controllers = nodes.size() + 1;
        return 2 * withThisOne > controllers;
    }

    /** Whether every peer has lately answered. */
    boolean allPeersResponded() {
        return nodes.stream().allMatch(node -> latest(node).filter(this::isRecent).isPresent());
    }

    /** Whether some peer lately reached the key-value store. */
    boolean anyReachesStore() {
        return answers.values().stream()
                .anyMatch(answer -> isRecent(answer) && answer.status().storeReachable());
    }

    /** Whether some peer's latest answer, however old, is that it takes no part in the history. */
    boolean anyWithoutHistory() {
        return answers.values().stream().anyMatch(answer -> !answer.status().keepsHistory());
    }

    /** Whether a peer lately said that it leads. */
    boolean anyLeads() {
        return answers.values().stream()
                .anyMatch(answer -> isRecent(answer) && answer.status().leading());
    }

    /** The greatest number of workers that one of the peers lately redirected. */
    int maxRedirectedWorkers() {
        return answers.values().stream()
                .filter(this::isRecent)
                .mapToInt(answer -> answer.status().redirectedWorkers())
                .max()
                .orElse(0);
    }

    /**
     * The latest time at which a peer confirmed an outage or renewed a worker's lease, or until
     * which it may go on doing so.
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

    /** From now on only answers to questions asked since then confirm anything. */
    void discardAnswersBefore(double time) {
        countedFrom = time;
    }

    private boolean isRecent(Answer answer) {
        return answer.askedAt() >= countedFrom
                && loop.now() - answer.askedAt() < timeouts.peerConfirmationValiditySeconds();
    }
}
