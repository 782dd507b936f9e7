package org.springmill.control.storage;

/**
 * A token bucket that holds the tokens of one second, as the limits of the protocol do, or more.
 * Times are in seconds of one clock.
 */
public final class TokenBucket {
    /** Rounding of waits may leave this much of a token missing. */
    private static final double TOLERANCE = 1e-9;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private double refilledAt;

    /** A full bucket that holds the tokens of one second. */
    public TokenBucket(double perSecond, double now) {
        tokensPerSecond = perSecond;
        capacity = perSecond;
        tokens = perSecond;
        refilledAt = now;
    }

    /**
     * Changes the rate and the capacity.
     *
     * @param newCapacity tokens that the bucket holds; the tokens of one second if that is more
     */
    public void setRate(double perSecond, double newCapacity, double now) {
        refill(now);
        tokensPerSecond = perSecond;
        capacity = Math.max(perSecond, newCapacity);
        tokens = Math.min(tokens, capacity);
    }

    /** Seconds until so many tokens may be taken; more than the capacity wait for a full bucket. */
    public double waitFor(double amount, double now) {
        refill(now);
        double missing = Math.min(amount, capacity) - tokens;
        return missing <= TOLERANCE ? 0 : missing / tokensPerSecond;
    }

    /** Seconds until so many tokens will have come, even if they exceed the capacity. */
    public double secondsUntil(double amount, double now) {
        refill(now);
        return Math.max(0, amount - tokens) / tokensPerSecond;
    }

    /**
     * Takes tokens, even more than there are: a request that must not wait is paid for by those
     * after it.
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
