package org.springmill.control.storage;

/** A token bucket that holds one second's worth, as the limits of the protocol do, or more. */
public final class RateLimit {
    /** Rounding of waits may leave this much of a token missing. */
    private static final double TOLERANCE = 1e-9;

    private double rate;
    private double depth;
    private double tokens;
    private double refilledAt;

    /** A full bucket. */
    public RateLimit(double perSecond, double now) {
        rate = perSecond;
        depth = perSecond;
        tokens = perSecond;
        refilledAt = now;
    }

    /**
     * Changes the rate.
     *
     * @param newDepth how much the bucket holds: at least one second's worth
     */
    public void setRate(double perSecond, double newDepth, double now) {
        refill(now);
        rate = perSecond;
        depth = Math.max(perSecond, newDepth);
        tokens = Math.min(tokens, depth);
    }

    /**
     * Seconds until this many may be taken; more than a bucket's worth only waits for a full
     * bucket.
     */
    public double waitFor(double amount, double now) {
        refill(now);
        double missing = Math.min(amount, depth) - tokens;
        return missing <= TOLERANCE ? 0 : missing / rate;
    }

    /** Seconds until so many will have come, be it more than a bucket's worth. */
    public double secondsUntil(double amount, double now) {
        refill(now);
        return Math.max(0, amount - tokens) / rate;
    }

    /**
     * Takes even what is not there: for requests that must not wait, whose cost the next ones then
     * bear.
     */
    public void take(double amount, double now) {
        refill(now);
        tokens -= amount;
    }

    private void refill(double now) {
        tokens = Math.min(depth, tokens + (now - refilledAt) * rate);
        refilledAt = now;
    }
}
