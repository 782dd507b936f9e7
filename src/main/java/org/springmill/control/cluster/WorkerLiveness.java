package org.springmill.control.cluster;

/**
 * When heartbeats of one worker arrived and were answered. Times are seconds on the steady clock of
 * the leader; negative infinity stands for never.
 */
final class WorkerLiveness {
    /** After a silence of more leases than this the worker begins anew with this leader. */
    private static final double NEW_START_AFTER_LEASES = 2;

    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private double lastAnsweredAt = Double.NEGATIVE_INFINITY;
    private double answeredSince;

    void heartbeatReceived(double now) {
        lastHeartbeatAt = now;
    }

    void heartbeatAnswered(double now, double leaseSeconds) {
        if (now - lastAnsweredAt > NEW_START_AFTER_LEASES * leaseSeconds) {
            answeredSince = now;
        }
        lastAnsweredAt = now;
    }

    double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    double lastAnsweredAt() {
        return lastAnsweredAt;
    }

    /** Whether its heartbeats have been answered for longer than this without a long silence. */
    boolean isAnsweredForLongerThan(double seconds, double now) {
        return lastAnsweredAt > Double.NEGATIVE_INFINITY && now - answeredSince > seconds;
    }
}
