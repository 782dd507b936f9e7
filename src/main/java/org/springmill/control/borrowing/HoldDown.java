package org.springmill.control.borrowing;

import java.util.HashMap;
import java.util.Map;

/**
 * For how long resources that come back from a recall's beneficiary stay unlent, by machine type.
 * Each wave of recalls adds its measured cost, and what was added decays exponentially, as in route
 * flap damping (RFC 2439): where recalls are rare or cheap, resources are lent again at once; where
 * they follow each other, for as long as a recall costs. Without recalls it is 0.
 *
 * <p>Waiting for as long as a recall costs before lending again loses at most twice what the best
 * choice would have lost if the next demand had been known (ski rental).
 */
public final class HoldDown {
    /** Below this it is taken for 0. */
    private static final double MIN_SECONDS = 0.5;

    /** Weight of the latest of the times in which returned resources were left unused. */
    private static final double LATEST_IDLE_WEIGHT = 0.3;

    /** Short work may go in at once if it takes no more of the expected gap than this share. */
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
        private double averageIdleSeconds = Double.NaN;
    }

    /**
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
     * Notes what a recall cost.
     *
     * @param costSeconds seconds of lost work and of waiting, for each unit that was recalled
     * @param loanSeconds how long what was recalled had been lent
     */
    public void recalled(String machineType, double costSeconds, double loanSeconds, double now) {
        Estimate estimate = estimates.computeIfAbsent(machineType, t -> new Estimate());
        double decayed = decayed(estimate, now);
        boolean newWave = now - estimate.recalledAt > waveSeconds;
        if (newWave) {
            estimate.secondsBeforeWave = decayed;
            estimate.secondsAddedByWave = 0;
        }
        double added = ratio * costSeconds;
        if (loanSeconds < estimate.secondsBeforeWave) {
            // It was lent too soon: the hold-down doubles, as in exponential backoff.
            added = Math.max(added, estimate.secondsBeforeWave);
        }
        estimate.secondsAddedByWave = Math.max(estimate.secondsAddedByWave, added);
        estimate.seconds =
                Math.min(maxSeconds, estimate.secondsBeforeWave + estimate.secondsAddedByWave);
        estimate.recalledAt = now;
        estimate.updatedAt = now;
    }

    /**
     * Notes that work of the kind that recalls is placed where room was held for it: lent, that
     * room would have been recalled, so the estimate stands as if it had been made now.
     *
     * @param gapSeconds for how long the room was held
     */
    public void wasOfUse(String machineType, double heldAt, double gapSeconds, double now) {
        Estimate estimate = estimates.get(machineType);
        if (estimate == null) {
            return;
        }
        estimate.seconds = decayed(estimate, heldAt);
        estimate.updatedAt = now;
        estimate.averageIdleSeconds =
                Double.isNaN(estimate.averageIdleSeconds)
                        ? gapSeconds
                        : LATEST_IDLE_WEIGHT * gapSeconds
                                + (1 - LATEST_IDLE_WEIGHT) * estimate.averageIdleSeconds;
    }

    /** For how long resources that come back now stay unlent. */
    public double seconds(String machineType, double now) {
        Estimate estimate = estimates.get(machineType);
        double seconds = estimate == null ? 0 : decayed(estimate, now);
        return seconds < MIN_SECONDS ? 0 : seconds;
    }

    /** Whether work is so short that it should be over before the room is needed again. */
    public boolean admits(String machineType, double workSeconds, double heldForSeconds) {
        Estimate estimate = estimates.get(machineType);
        if (estimate == null) {
            return true;
        }
        double left = estimate.averageIdleSeconds - heldForSeconds;
        return workSeconds > 0 && workSeconds <= SHORT_WORK_SHARE * left;
    }

    private double decayed(Estimate estimate, double now) {
        return estimate.seconds * Math.pow(0.5, (now - estimate.updatedAt) / halfLifeSeconds);
    }
}
