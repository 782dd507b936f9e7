package org.springmill.control.storage;

/**
 * A token bucket that holds at least the tokens of one second, like the rate limits of the
 * protocol. All times are in seconds of the same clock.
 */
public final class TokenBucket {
    /** Fraction of a token that may be missing because of rounding errors in waits. */
    private static final double TOLERANCE = 1e-9;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private double refilledAt;

    /** Creates a full bucket that holds the tokens of one second. */
    public TokenBucket(double perSecond, double now) {
        tokensPerSecond = perSecond;
        capacity = perSecond;
        tokens = perSecond;
        refilledAt = now;
    }

    /**
     * Changes the rate and the capacity.
     *
     * @param newCapacity tokens that the bucket holds; if lower, the tokens of one second apply
     */
    public void setRate(double perSecond, double newCapacity, double now) {
        refill(now);
        tokensPerSecond = perSecond;
        capacity = Math.max(perSecond, newCapacity);
        tokens = Math.min(tokens, capacity);
    }

    /** Seconds until this amount may be taken; amounts above the capacity need a full bucket. */
    public double waitSeconds(double amount, double now) {
        refill(now);
        double missing = Math.min(amount, capacity) - tokens;
        return missing <= TOLERANCE ? 0 : missing / tokensPerSecond;
    }

    /** Seconds until this amount has been refilled, even if it exceeds the capacity. */
    public double secondsUntil(double amount, double now) {
        refill(now);
        return Math.max(0, amount - tokens) / tokensPerSecond;
    }

    /**
     * Takes tokens, even more than are available: later requests then wait longer, so that this one
     * does not have to.
     */
    public void take(double amount, double now) {
        refill(now);
        tokens -= amount;
    }

    private void refill(double now) {
        tokens = Math.min(capacity, tokens + (now - refilledAt) * tokensPerSecond);
        refilledAt = now;
    }
}
