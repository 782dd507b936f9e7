package org.springmill.control.cluster;

/**
 * When heartbeats of one worker arrived and were answered. Times are seconds on the steady clock of
 * the leader; negative infinity stands for never.
 */
final class WorkerLiveness {
    /** A longer gap between answered heartbeats, in leases, restarts {@code answeredSince}. */
    private static final double MAX_ANSWER_GAP_LEASES = 2;

    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private double lastAnsweredAt = Double.NEGATIVE_INFINITY;
    private double answeredSince;
    private boolean isRenewalOverdue;

    void heartbeatReceived(double now) {
        lastHeartbeatAt = now;
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
