package org.springmill.control.timing;

import org.springmill.protocol.Settings;

/**
 * The times on which safety and failover depend, all derived from the workers' lease, heartbeat
 * interval and cancellation deadline. The argument for them is in docs/design.md, "When a task may
 * start again".
 *
 * <p>Each is one of three kinds. An interval is the time between two actions of the same kind. A
 * timeout is how long something is waited for after an event. A validity is how long a lease, a
 * confirmation or other knowledge may be relied on.
 *
 * @param leaderLeaseSeconds validity of the leader's lease in the key-value store
 * @param leaderRenewIntervalSeconds interval of the leader's lease renewals, of the followers'
 *     reads of the leader's record, and of retries after a failed read
 * @param leaderGraceSeconds validity of leadership after the earliest expiry of the leader's lease:
 *     for this time the leader still answers heartbeats without its peers' confirmation
 * @param peerConfirmationValiditySeconds validity of a peer's answer, such as that it cannot reach
 *     the key-value store, from the time of the request
 * @param peerPollIntervalSeconds interval of status requests to each peer
 * @param storeRequestTimeoutSeconds timeout of a request to the key-value store
 * @param workerLeaseSeconds validity of a worker's lease as measured on another clock, with the
 *     drift between them
 * @param heartbeatIntervalSeconds interval of a worker's heartbeats
 * @param claimConfirmationTimeoutSeconds timeout of a start command: the state of an attempt that
 *     is not confirmed by then is unknown and has to be reconciled
 * @param probeAfterSeconds timeout of a heartbeat, longer than the interval: a worker without a
 *     heartbeat for this long is asked for its status
 * @param suspectAfterSeconds timeout of a heartbeat: a worker without a heartbeat for this long
 *     gets no new work
 * @param deadAfterSeconds timeout of a heartbeat: a worker without a heartbeat for this long that
 *     does not answer commands either is taken to be dead
 * @param commandTimeoutSeconds timeout of a request with commands to a worker
 * @param cancellationDeletionTimeoutSeconds timeout of the stop of a cancelled task: if it still
 *     runs by then, its machine is deleted
 * @param cancellationKnowledgeValiditySeconds validity of the knowledge of every cancellation up to
 *     a time: for this long after that time a controller may renew leases, since they expire before
 *     the deadline of any cancellation that it does not know yet
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

    /**
     * Factor that extends a time by twice the drift between two clocks, and for timers that fire
     * late.
     */
    public static final double DRIFT = 1.002;

    private static final double COMMIT_RETRIES_PER_PEER_POLL = 4;
    private static final double CANCELLATION_QUERIES_PER_PEER_POLL = 2;

    /** Longest time between two heartbeats, in heartbeat intervals. */
    private static final double LONGEST_HEARTBEAT_GAP_INTERVALS = 1.25;

    /** Derives the times from the settings, in the order of the components. */
    public static Timeouts of(Settings settings) {
        double lease = settings.workers().leaseSeconds();
        double heartbeatInterval = settings.workers().heartbeatIntervalSeconds();
        double cancellationDeadline = settings.workers().cancellationDeadlineSeconds();
        double leaderLease = lease / 5;
        double workerLease = lease * DRIFT + heartbeatInterval / 10;
        // A cancellation deadline shorter than a lease is met only by the deletion of machines.
        // Leases may still be renewed for half a lease, since otherwise no task could run.
        double cancellationKnowledgeValidity =
                Math.max(
                        lease / 2,
                        cancellationDeadline / DRIFT - workerLease - heartbeatInterval / 2);
        return new Timeouts(
                leaderLease,
                leaderLease / 4,
                leaderLease,
                leaderLease / 2,
                leaderLease / 8,
                leaderLease / 3,
                workerLease,
                heartbeatInterval,
                lease * 0.3,
                heartbeatInterval * LONGEST_HEARTBEAT_GAP_INTERVALS * 1.15,
                heartbeatInterval * LONGEST_HEARTBEAT_GAP_INTERVALS * 1.6,
                heartbeatInterval * 2.1,
                heartbeatInterval * 0.6,
                cancellationDeadline * 0.55,
                cancellationKnowledgeValidity);
    }

    /**
     * Timeout of messages from the leader: a controller without one for this long suspects that the
     * leader has failed. Longer than the validity of a confirmation, so that no peer suspects a
     * leader that still acts on that peer's confirmation.
     */
    public double leaderSuspectAfterSeconds() {
        return 2 * peerConfirmationValiditySeconds;
    }

    /**
     * A longer time between two turns of the event loop is a process pause. It is half of the
     * leader's lease: after a shorter pause the leader has time to prove that it still leads.
     */
    public double pauseThresholdSeconds() {
        return leaderLeaseSeconds / 2;
    }

    /**
     * Validity after the first message from a new leader: for this time other controllers renew the
     * leases of workers that still send heartbeats to them.
     */
    public double newLeaderKeepaliveSeconds() {
        return workerLeaseSeconds / 4;
    }

    /**
     * Timeout of heartbeats and peers after the start of a process: a worker without an answer has
     * tried every controller by then.
     */
    public double discoveryTimeoutSeconds() {
        return workerLeaseSeconds / 2;
    }

    /** Interval between two attempts to commit a change while its user waits for the answer. */
    public double commitRetryIntervalSeconds() {
        return peerPollIntervalSeconds / COMMIT_RETRIES_PER_PEER_POLL;
    }

    /** Timeout of a query to the leader while the user of a cancelled job waits for the answer. */
    public double cancellationQueryTimeoutSeconds() {
        return peerPollIntervalSeconds / CANCELLATION_QUERIES_PER_PEER_POLL;
    }

    /** Validity of a peer's confirmation as measured on any clock, extended by {@link #DRIFT}. */
    public double peerConfirmationValidityOnAnyClockSeconds() {
        return peerConfirmationValiditySeconds * DRIFT;
    }

    /** Validity after a failover: for this time other controllers may still renew leases. */
    public double renewalLimitAfterTakeoverSeconds() {
        return Math.max(leaderLeaseSeconds + leaderGraceSeconds, peerConfirmationValiditySeconds)
                * DRIFT;
    }
}
