package org.springmill.control.simulation;

import java.util.stream.LongStream;

/**
 * The seeds of tests that draw days: a few in CI, others by the system properties {@code
 * springmill.days} and {@code springmill.firstSeed}.
 */
final class DaySeeds {
    private static final int DAYS_IN_CI = 40;
    private static final long FIRST_SEED_IN_CI = 1;

    private DaySeeds() {}

    static LongStream seeds() {
        long first = Long.getLong("springmill.firstSeed", FIRST_SEED_IN_CI);
        return LongStream.range(first, first + Integer.getInteger("springmill.days", DAYS_IN_CI));
    }
}
