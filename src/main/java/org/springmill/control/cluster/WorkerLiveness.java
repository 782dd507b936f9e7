package org.springmill.control.cluster;

import java.util.Optional;

/**
 * When heartbeats of one worker arrived and were answered. Times are seconds on the steady clock of
 * the leader; negative infinity stands for never.
 */
public final class WorkerLiveness {
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

    /** When the latest heartbeat arrived; negative infinity for never. */
    public double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** How the latest heartbeat arrived; empty if none has. */
    public Optional<HeartbeatSource> lastSource() {
        return lastSource;
    }

    /**
     * Records that a heartbeat was answered.
     *
     * @param leaseSeconds a gap of more than two leases between answers restarts the time measured
     *     by {@link Machine#missesResponses}
     */
    public void heartbeatAnswered(double now, double leaseSeconds) {
        if (now - lastAnsweredAt > MAX_ANSWER_GAP_LEASES * leaseSeconds) {
            answeredSince = now;
        }
        lastAnsweredAt = now;
        isRenewalOverdue = false;
    }

    /** When a heartbeat was last answered; negative infinity for never. */
    public double lastAnsweredAt() {
        return lastAnsweredAt;
    }

    /** Whether heartbeats have been answered for longer than the given time without a long gap. */
    boolean isAnsweredForLongerThan(double seconds, double now) {
        return lastAnsweredAt > Double.NEGATIVE_INFINITY && now - answeredSince > seconds;
    }

    /**
     * Records that the lease is overdue for renewal: heartbeats have reached no controller for a
     * whole lease, although the worker may respond to commands.
     */
    public void markRenewalOverdue() {
        isRenewalOverdue = true;
    }

    /** Whether the lease is overdue for renewal; ends when a heartbeat is answered. */
    public boolean isRenewalOverdue() {
        return isRenewalOverdue;
    }
}
