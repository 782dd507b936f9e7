package org.springmill.control.admission;

import java.util.SplittableRandom;

/**
 * When users whose submissions were refused should retry: after the excess has drained, each at a
 * random time within as long again, so that the retries are spread.
 */
final class RetryAfter {
    static final int MIN_SECONDS = 1;

    /** Users wait no longer than this, whatever the response says. */
    static final int MAX_SECONDS = 30;

    private final SplittableRandom random;

    RetryAfter(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Seconds after which one user should retry; draws one random number.
     *
     * @param drainSeconds until the excess has drained, by the measured rates
     */
    int seconds(double drainSeconds) {
        double spread = drainSeconds * (1 + random.nextDouble());
        return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, Math.ceil(spread)));
    }
}
