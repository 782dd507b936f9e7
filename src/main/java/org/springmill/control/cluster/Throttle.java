package org.springmill.control.cluster;

/** Allows something at most once in an interval. Times are seconds on the steady clock. */
public final class Throttle {
    private double nextAt = Double.NEGATIVE_INFINITY;

    /**
     * Whether it is allowed now. If so, it is not allowed again before the interval is over.
     *
     * @param now on the steady clock
     */
    public boolean tryAcquire(double now, double intervalSeconds) {
        boolean isAllowed = now >= nextAt;
        if (isAllowed) {
            nextAt = now + intervalSeconds;
        }
        return isAllowed;
    }
}
