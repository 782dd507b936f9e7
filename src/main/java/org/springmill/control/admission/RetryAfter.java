package org.springmill.control.admission;

import java.util.SplittableRandom;

/**
 * When refused users should come back: once what is in excess has drained, each at a random moment
 * within as long again, so that they do not all come at once.
 */
final class RetryAfter {
    static final int MIN_SECONDS = 1;

    /** Users wait no longer than this, whatever they are told. */
    static final int MAX_SECONDS = 30;

    private final SplittableRandom random;

    RetryAfter(SplittableRandom random) {
        this.random = random;
    }

    /**
     * @param drainSeconds until there is room again, by the measured rates
     */
    int seconds(double drainSeconds) {
        double spread = drainSeconds * (1 + random.nextDouble());
        return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, Math.ceil(spread)));
    }
}
