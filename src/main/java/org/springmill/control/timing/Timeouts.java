package org.springmill.control.timing;

import org.springmill.protocol.Settings;

/**
 * The times on which safety and failover depend, all ratios to the workers' lease and report
 * interval. The argument for them is in docs/design.md, "When a task may start again".
 *
 * @param leaderLeaseSeconds lease of the leader in the key-value store
 * @param leaderRenewIntervalSeconds interval of its renewals, and of the followers' looks at the
 *     leader's record
 * @param leaderGraceSeconds how long after its lease may have run out a leader still answers
 *     reports without its peers' confirmation
 * @param peerConfirmationValiditySeconds how long a peer's answer, such as that it cannot reach the
 *     key-value store, counts, from the question on
 * @param peerPollIntervalSeconds interval in which each peer is asked for its status
 * @param storeRequestTimeoutSeconds after this a request to the key-value store has no answer
 * @param workerLeaseSeconds a worker's lease as seen from another clock
 * @param heartbeatIntervalSeconds interval of a worker's reports
 * @param claimConfirmationTimeoutSeconds after this an unconfirmed start is unknown and has to be
 *     reconciled
 * @param probeAfterSeconds a worker not heard for this long, longer than its reports are apart, is
 *     asked
 * @param suspectAfterSeconds a worker not heard for this long gets no new work
 * @param deadAfterSeconds a worker not heard for this long, and not answering commands either, is
 *     taken to be dead
 * @param commandTimeoutSeconds after this a request with commands has no answer
 * @param cancellationDeletionTimeoutSeconds a cancelled task not gone by then has its machine
 *     deleted
 * @param cancellationKnowledgeValiditySeconds how long after the last moment up to which it knows
 *     every cancellation a controller may renew leases: what is renewed then is over before
 *     anything cancelled since has to be gone
 */
public record Timeouts(
        double leaderLeaseSeconds,
        double leaderRenewIntervalSeconds,
        double leaderGraceSeconds,
        double peerConfirmationValiditySeconds,
        double peerPollIntervalSeconds,
        double storeRequestTimeoutSeconds,
        double workerLeaseSeconds,
        double heartbeatIntervalSeconds,
        double claimConfirmationTimeoutSeconds,
        double probeAfterSeconds,
        double suspectAfterSeconds,
        double deadAfterSeconds,
        double commandTimeoutSeconds,
        double cancellationDeletionTimeoutSeconds,
        double cancellationKnowledgeValiditySeconds) {

    /** Drift of two clocks against each other, doubled, and timers that fire late. */
    public static final double DRIFT = 1.002;

    public static Timeouts of(Settings settings) {
        double lease = settings.workers().leaseSeconds();
        double report = settings.workers().heartbeatIntervalSeconds();
        double ttl = lease / 5;
        double cancel = settings.workers().cancellationDeadlineSeconds();
        double seenLease = lease * DRIFT + report / 10;
        // Where cancellations have less time than leases only deletion keeps it; some leases have
        // to be given all the same.
        double unknowing = Math.max(lease / 2, cancel / DRIFT - seenLease - report / 2);
        return new Timeouts(
                ttl,
                ttl / 4,
                ttl,
                ttl / 2,
                ttl / 8,
                ttl / 3,
                seenLease,
                report,
                lease * 0.3,
                report * 1.25 * 1.15,
                report * 1.25 * 1.6,
                report * 2.1,
                report * 0.6,
                cancel * 0.55,
                unknowing);
    }

    /**
     * A controller that has not heard a leader for so long finds it silent. Longer than any
     * confirmation counts: while a leader still acts on its peers' answers, they still hear it.
     */
    public double leaderSuspectAfterSeconds() {
        return 2 * peerConfirmationValiditySeconds;
    }

    /**
     * A controller that did nothing for so long stood still. Half of its lease as leader: shorter
     * pauses leave time to prove that it still leads.
     */
    public double pauseThresholdSeconds() {
        return leaderLeaseSeconds / 2;
    }

    /**
     * How long other controllers keep the leases of workers that come to them after a new leader
     * was heard of.
     */
    public double newLeaderKeepaliveSeconds() {
        return workerLeaseSeconds / 4;
    }

    /** How long after a peer's answer, on any clock, someone may still act on it. */
    public double peerConfirmationValidityOnAnyClockSeconds() {
        return peerConfirmationValiditySeconds * DRIFT;
    }

    /** How long after a leader took over another controller may still renew a worker's lease. */
    public double followerRenewalLimitSeconds() {
        return Math.max(leaderLeaseSeconds + leaderGraceSeconds, peerConfirmationValiditySeconds)
                * DRIFT;
    }
}
