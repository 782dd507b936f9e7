package org.springmill.control.admission;

import java.util.SplittableRandom;

/**
 * Computes when users should retry refused submissions: after the excess has drained, plus a random
 * time of up to the same length, so that the retries are spread.
 */
final class RetryAfter {
    static final int MIN_SECONDS = 1;

    /** Users do not wait longer than this, even if a response asks for it. */
    static final int MAX_SECONDS = 30;

    private final SplittableRandom random;

    RetryAfter(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Seconds after which one user should retry; draws one random number.
     *
     * @param drainSeconds expected time until the excess has drained
     */
    int seconds(double drainSeconds) {
        double randomizedSeconds = drainSeconds * (1 + random.nextDouble());
        return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, Math.ceil(randomizedSeconds)));
    }
}
