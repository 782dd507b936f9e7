package org.springmill.control.admission;

/** A rate of events, averaged with weights that decay exponentially with their age. */
final class RateMeter {
    private final double averagingSeconds;
    private double perSecond;
    private double updatedAt;

    /**
     * @param averagedSeconds age at which an event still has 1/e of its weight
     */
    RateMeter(double averagedSeconds, double now) {
        this.averagingSeconds = averagedSeconds;
        updatedAt = now;
    }

    void add(double events, double now) {
        perSecond = perSecond(now) + events / averagingSeconds;
        updatedAt = now;
    }

    /** Events a second, as seen at this moment. */
    double perSecond(double now) {
        return perSecond * Math.exp(-Math.max(0, now - updatedAt) / averagingSeconds);
    }
}
