package org.springmill.control.admission;

/** The rate of events as an exponentially weighted moving average. */
final class RateMeter {
    private final double averagingSeconds;
    private double perSecond;
    private double updatedAt;

    /**
     * Creates a meter without events.
     *
     * @param averagingSeconds age at which an event still has 1/e of its weight
     */
    RateMeter(double averagingSeconds, double now) {
        this.averagingSeconds = averagingSeconds;
        updatedAt = now;
    }

    void add(double events, double now) {
        perSecond = perSecond(now) + events / averagingSeconds;
        updatedAt = now;
    }

    /** Events per second, as of now. */
    double perSecond(double now) {
        return perSecond * Math.exp(-Math.max(0, now - updatedAt) / averagingSeconds);
    }
}
