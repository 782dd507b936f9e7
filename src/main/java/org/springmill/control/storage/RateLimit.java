package org.springmill.control.storage;

/** A token bucket that holds one second's worth, as the limits of the protocol do. */
public final class RateLimit {
    private double rate;
    private double tokens;
    private double at;

    public RateLimit(double perSecond, double now) {
        rate = perSecond;
        tokens = perSecond;
        at = now;
    }

    public void setRate(double perSecond, double now) {
        refill(now);
        rate = perSecond;
        tokens = Math.min(tokens, rate);
    }

    /**
     * Seconds until this many may be taken; more than a bucket's worth only waits for a full
     * bucket.
     */
    public double waitFor(double amount, double now) {
        refill(now);
        double missing = Math.min(amount, rate) - tokens;
        return missing <= 1e-9 ? 0 : missing / rate;
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
        tokens = Math.min(rate, tokens + (now - at) * rate);
        at = now;
    }
}
