package org.springmill.control.leadership;

import java.util.Optional;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * The lease in the key-value store to which this controller attaches its leader record: until when
 * it is valid at least, and whether that was confirmed since the process was last paused. Times are
 * those of this controller's own clock, counted from when a request was sent.
 */
final class LeaderLease {
    private static final long NONE = 0;

    private final EventLoop loop;
    private final Timeouts timeouts;

    private long id = NONE;
    private double validUntil = Double.NEGATIVE_INFINITY;

    /** When the last request whose answer confirmed the lease had been sent. */
    private double confirmedAt = Double.NEGATIVE_INFINITY;

    private double resumedAt = Double.NEGATIVE_INFINITY;
    private boolean renewalInFlight;

    /**
     * A renewal that is under way.
     *
     * @param leaseId the lease to be renewed
     * @param sentAt when the request was sent
     */
    record Renewal(long leaseId, double sentAt) {}

    LeaderLease(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        this.timeouts = timeouts;
    }

    /** Takes a lease that the key-value store has granted upon a request of the time given. */
    void granted(long grantedId, double requestedAt) {
        id = grantedId;
        validUntil = requestedAt + timeouts.leaderLeaseSeconds();
        confirmedAt = requestedAt;
    }

    /** The lease that is held; empty if there is none to be revoked. */
    Optional<Long> held() {
        return id == NONE ? Optional.empty() : Optional.of(id);
    }

    /** Whether a lease in the key-value store is this one. */
    boolean hasId(long leaseId) {
        return id == leaseId;
    }

    /** Forgets the lease at the end of a term. */
    void release() {
        id = NONE;
    }

    /** The renewal to be sent; empty while another is under way. */
    Optional<Renewal> beginRenewal() {
        if (renewalInFlight) {
            return Optional.empty();
        }
        renewalInFlight = true;
        return Optional.of(new Renewal(id, loop.now()));
    }

    /** Notes that a renewal was answered; whether it was one of the lease that is held now. */
    boolean endRenewal(Renewal renewal) {
        renewalInFlight = false;
        return id == renewal.leaseId();
    }

    /** Extends the lease after a renewal that the key-value store has confirmed. */
    void extend(Renewal renewal) {
        validUntil = Math.max(validUntil, renewal.sentAt() + timeouts.leaderLeaseSeconds());
        confirmedAt = renewal.sentAt();
    }

    /** Notes that the process was paused: the lease has to be confirmed anew. */
    void resumed() {
        resumedAt = loop.now();
    }

    boolean isConfirmedSincePause() {
        return confirmedAt >= resumedAt;
    }

    boolean hasExpired() {
        return loop.now() >= validUntil;
    }

    /** Whether the lease is valid or expired so lately that its leader may still answer workers. */
    boolean isWithinGrace() {
        return loop.now() < validUntil + timeouts.leaderGraceSeconds();
    }
}
