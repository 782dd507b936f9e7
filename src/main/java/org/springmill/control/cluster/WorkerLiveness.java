package org.springmill.control.cluster;

import java.util.Optional;

/**
 * When heartbeats of one worker arrived and were answered. Times are seconds on the steady clock of
 * the leader; negative infinity stands for never.
 */
final class WorkerLiveness {
    /** A longer gap between answered heartbeats, in leases, restarts {@code answeredSince}. */
    private static final double MAX_ANSWER_GAP_LEASES = 2;

    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private Optional<HeartbeatSource> lastSource = Optional.empty();
    private double lastAnsweredAt = Double.NEGATIVE_INFINITY;
    private double answeredSince;
    private boolean isRenewalOverdue;

    void heartbeatReceived(HeartbeatSource source, double now) {
        lastHeartbeatAt = now;
        lastSource = Optional.of(source);
    }

    /** How the latest heartbeat arrived; empty if none has. */
    Optional<HeartbeatSource> lastSource() {
        return lastSource;
    }

    void heartbeatAnswered(double now, double leaseSeconds) {
        if (now - lastAnsweredAt > MAX_ANSWER_GAP_LEASES * leaseSeconds) {
            answeredSince = now;
        }
        lastAnsweredAt = now;
        isRenewalOverdue = false;
    }

    /** Records that no controller can have renewed the lease for its whole duration. */
    void markRenewalOverdue() {
        isRenewalOverdue = true;
    }

    boolean isRenewalOverdue() {
        return isRenewalOverdue;
    }

    double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    double lastAnsweredAt() {
        return lastAnsweredAt;
    }

    /** Whether heartbeats have been answered for longer than the given time without a long gap. */
    boolean isAnsweredForLongerThan(double seconds, double now) {
        return lastAnsweredAt > Double.NEGATIVE_INFINITY && now - answeredSince > seconds;
    }
}
