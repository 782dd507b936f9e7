package org.springmill.control.borrowing;

import java.util.HashMap;
import java.util.Map;

/**
 * The hold-down by machine type: how long capacity that a recall's beneficiary has released may not
 * be borrowed again. Each wave of recalls adds its measured cost to the hold-down, which decays
 * exponentially, as in route flap damping (RFC 2439). Where recalls are rare or cheap, capacity may
 * be borrowed again immediately; where they are frequent, after as long as a recall costs. Without
 * recalls the hold-down is 0.
 *
 * <p>Holding capacity for as long as a recall costs loses at most twice as much as the best choice
 * made with knowledge of the next demand (the ski rental problem).
 */
public final class HoldDown {
    /** A shorter hold-down counts as 0. */
    private static final double MIN_SECONDS = 0.5;

    /** Weight of the latest idle time of held capacity in the moving average. */
    private static final double LATEST_IDLE_WEIGHT = 0.3;

    /** Largest share of the expected idle time that short work on held capacity may take. */
    private static final double SHORT_WORK_SHARE = 0.5;

    private final double halfLifeSeconds;
    private final double ratio;
    private final double maxSeconds;
    private final double waveSeconds;
    private final Map<String, Estimate> estimates = new HashMap<>();

    private static final class Estimate {
        private double seconds;
        private double updatedAt;
        private double recalledAt = Double.NEGATIVE_INFINITY;
        private double secondsBeforeWave;
        private double secondsAddedByWave;

        /** NaN until an idle time is recorded. */
        private double averageIdleSeconds = Double.NaN;

        private void addIdleTime(double idleSeconds) {
            averageIdleSeconds =
                    Double.isNaN(averageIdleSeconds)
                            ? idleSeconds
                            : LATEST_IDLE_WEIGHT * idleSeconds
                                    + (1 - LATEST_IDLE_WEIGHT) * averageIdleSeconds;
        }
    }

    /**
     * Creates hold-downs of 0 for all machine types.
     *
     * @param halfLifeSeconds time in which a hold-down decays by half
     * @param ratio factor on the measured cost; 0 switches the hold-down off
     * @param maxSeconds the longest hold-down
     * @param waveSeconds recalls at most this far apart belong to one wave, for which only the
     *     highest cost counts
     */
    public HoldDown(double halfLifeSeconds, double ratio, double maxSeconds, double waveSeconds) {
        this.waveSeconds = waveSeconds;
        this.maxSeconds = maxSeconds;
        this.halfLifeSeconds = halfLifeSeconds;
        this.ratio = ratio;
    }

    /**
     * Records what a recall cost.
     *
     * @param costSeconds average lost work of the victims plus the time until the recall was
     *     settled
     * @param borrowedSeconds how long the recalled capacity had been borrowed
     * @param now in seconds on the event loop's clock
     */
    public void recordRecall(
            String machineType, double costSeconds, double borrowedSeconds, double now) {
        Estimate estimate = estimates.computeIfAbsent(machineType, t -> new Estimate());
        double decayed = decayed(estimate, now);
        boolean newWave = now - estimate.recalledAt > waveSeconds;
        if (newWave) {
            estimate.secondsBeforeWave = decayed;
            estimate.secondsAddedByWave = 0;
        }
        double added = ratio * costSeconds;
        if (borrowedSeconds < estimate.secondsBeforeWave) {
            // The capacity was borrowed too early, so the hold-down doubles, as in exponential
            // backoff.
            added = Math.max(added, estimate.secondsBeforeWave);
        }
        estimate.secondsAddedByWave = Math.max(estimate.secondsAddedByWave, added);
        estimate.seconds =
                Math.min(maxSeconds, estimate.secondsBeforeWave + estimate.secondsAddedByWave);
        estimate.recalledAt = now;
        estimate.updatedAt = now;
    }

    /**
     * Records that a beneficiary's task was placed on held capacity. If the capacity had been
     * borrowed, it would have been recalled, so the hold-down does not decay for the time the
     * capacity was held.
     *
     * @param heldAt when the capacity was released, in seconds on the event loop's clock
     * @param idleSeconds how long the capacity was held
     */
    public void heldCapacityUsed(
            String machineType, double heldAt, double idleSeconds, double now) {
        Estimate estimate = estimates.get(machineType);
        if (estimate == null) {
            return;
        }
        estimate.seconds = decayed(estimate, heldAt);
        estimate.updatedAt = now;
        estimate.addIdleTime(idleSeconds);
    }

    /** The hold-down, in seconds, of capacity that is released now. */
    public double seconds(String machineType, double now) {
        Estimate estimate = estimates.get(machineType);
        double seconds = estimate == null ? 0 : decayed(estimate, now);
        return seconds < MIN_SECONDS ? 0 : seconds;
    }

    /** Whether work is so short that it should end before the held capacity is needed again. */
    public boolean admitsShortWork(String machineType, double workSeconds, double heldForSeconds) {
        Estimate estimate = estimates.get(machineType);
        if (estimate == null) {
            return true;
        }
        double expectedIdleSeconds = estimate.averageIdleSeconds - heldForSeconds;
        return workSeconds > 0 && workSeconds <= SHORT_WORK_SHARE * expectedIdleSeconds;
    }

    private double decayed(Estimate estimate, double now) {
        return estimate.seconds * Math.pow(0.5, (now - estimate.updatedAt) / halfLifeSeconds);
    }
}
