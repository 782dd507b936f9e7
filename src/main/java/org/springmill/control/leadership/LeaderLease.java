package org.springmill.control.leadership;

import java.util.Optional;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * The lease in the key-value store to which this controller attaches its leader record: the
 * earliest time at which it can expire, and whether it was confirmed since the last pause of the
 * process. All times are on this controller's clock. Validity counts from the sending of a request,
 * which is before the store grants or renews the lease.
 */
final class LeaderLease {
    private static final long NONE = 0;

    private final EventLoop loop;
    private final Timeouts timeouts;

    private long id = NONE;
    private double validUntil = Double.NEGATIVE_INFINITY;

    /** When the latest request that confirmed the lease was sent. */
    private double confirmedAt = Double.NEGATIVE_INFINITY;

    private double resumedAt = Double.NEGATIVE_INFINITY;
    private boolean renewalInFlight;

    /**
     * A renewal that was sent and not yet answered.
     *
     * @param leaseId the lease to be renewed
     * @param sentAt when the request was sent
     */
    record Renewal(long leaseId, double sentAt) {}

    LeaderLease(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        this.timeouts = timeouts;
    }

    /** Records a lease that the key-value store granted to a request sent at the given time. */
    void granted(long grantedId, double requestedAt) {
        id = grantedId;
        validUntil = requestedAt + timeouts.leaderLeaseSeconds();
        confirmedAt = requestedAt;
    }

    /** The ID of the lease that is held; empty if none is. */
    Optional<Long> held() {
        return id == NONE ? Optional.empty() : Optional.of(id);
    }

    /** Whether this lease has the given ID. */
    boolean hasId(long leaseId) {
        return id == leaseId;
    }

    /** Forgets the lease at the end of a term. */
    void release() {
        id = NONE;
    }

    /** Starts a renewal, which the caller sends; empty while another is unanswered. */
    Optional<Renewal> beginRenewal() {
        if (renewalInFlight) {
            return Optional.empty();
        }
        renewalInFlight = true;
        return Optional.of(new Renewal(id, loop.now()));
    }

    /** Records that a renewal was answered, and returns whether it renewed the lease held now. */
    boolean endRenewal(Renewal renewal) {
        renewalInFlight = false;
        return id == renewal.leaseId();
    }

    /** Extends the lease after the key-value store has confirmed a renewal. */
    void extend(Renewal renewal) {
        validUntil = Math.max(validUntil, renewal.sentAt() + timeouts.leaderLeaseSeconds());
        confirmedAt = renewal.sentAt();
    }

    /** Records that the process was paused: the lease has to be confirmed again. */
    void resumed() {
        resumedAt = loop.now();
    }

    boolean isConfirmedSincePause() {
        return confirmedAt >= resumedAt;
    }

    boolean hasExpired() {
        return loop.now() >= validUntil;
    }

    /**
     * Whether the lease is valid, or expired so recently that the leader may still answer workers.
     */
    boolean isWithinGrace() {
        return loop.now() < validUntil + timeouts.leaderGraceSeconds();
    }
}
