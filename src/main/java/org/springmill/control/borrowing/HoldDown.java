package org.springmill.control.borrowing;

import java.util.HashMap;
import java.util.Map;

/**
 * The hold-down by machine type: how long resources that come back from a recall's beneficiary are
 * not lent again. Each wave of recalls adds its measured cost, and what was added decays
 * exponentially, as in route flap damping (RFC 2439). Where recalls are rare or cheap, resources
 * are lent again at once; where recalls are frequent, after as long as a recall costs. Without
 * recalls the hold-down is 0.
 *
 * <p>Waiting as long as a recall costs before lending again loses at most twice what the best
 * choice with knowledge of the next demand would have lost (ski rental).
 */
public final class HoldDown {
    /** A shorter hold-down counts as 0. */
    private static final double MIN_SECONDS = 0.5;

    /** Weight of the latest idle time of held resources in their moving average. */
    private static final double LATEST_IDLE_WEIGHT = 0.3;

    /** Short work may be placed if it takes no more of the expected idle time than this share. */
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

        /** Not a number before the first idle time. */
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
     * Hold-downs of 0 for all machine types.
     *
     * @param halfLifeSeconds time in which half of what a recall added decays
     * @param ratio factor on the measured cost; 0 switches the hold-down off
     * @param maxSeconds the longest hold-down
     * @param waveSeconds recalls less than this apart belong to one wave, which counts by the
     *     costliest of them
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
     * @param costSeconds lost work and waiting time for each unit that was recalled
     * @param loanSeconds how long what was recalled had been lent
     * @param now in seconds of the loop's clock
     */
    public void recordRecall(
            String machineType, double costSeconds, double loanSeconds, double now) {
        Estimate estimate = estimates.computeIfAbsent(machineType, t -> new Estimate());
        double decayed = decayed(estimate, now);
        boolean newWave = now - estimate.recalledAt > waveSeconds;
        if (newWave) {
            estimate.secondsBeforeWave = decayed;
            estimate.secondsAddedByWave = 0;
        }
        double added = ratio * costSeconds;
        if (loanSeconds < estimate.secondsBeforeWave) {
            // It was lent too early, so the hold-down doubles, as in exponential backoff.
            added = Math.max(added, estimate.secondsBeforeWave);
        }
        estimate.secondsAddedByWave = Math.max(estimate.secondsAddedByWave, added);
        estimate.seconds =
                Math.min(maxSeconds, estimate.secondsBeforeWave + estimate.secondsAddedByWave);
        estimate.recalledAt = now;
        estimate.updatedAt = now;
    }

    /**
     * Records that work that may recall was placed on held capacity. Had the capacity been lent, it
     * would have been recalled, so the estimate is as good as one made now.
     *
     * @param heldAt when the capacity came back, in seconds of the loop's clock
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

    /** How long resources that come back now are not lent, in seconds. */
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
