package org.springmill.control.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;

/** How many tasks of a class are expected while a machine boots. */
class ArrivalRateEstimatorTest {
    private static final double BOOT_SECONDS = 45;
    private static final double FIRST_ARRIVAL = 100;
    private static final double LAST_ARRIVAL = 295;
    private static final double ARRIVAL_INTERVAL = 5;

    /**
     * A job of one task arrives every 5 s for 200 s: nine per boot time, plus about three for the
     * standard deviation. Arrivals count for three boot times (135 s), independent of the worker
     * lease: with a window of nine leases, headroom was kept for minutes after the last arrival.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "while jobs arrive,                       295, 13",
        "a boot after the last,                   340, 9",
        "most of the window after the last,       425, 2",
        "the whole window after the last,         431, 0",
    })
    void expectedTasksDependOnArrivalsOfLastThreeBootTimes(
            String situation, double now, int expected) {
        ArrivalRateEstimator arrivalRates = new ArrivalRateEstimator(SettingsFixtures.small(), 0);
        Submission job = PackingFixtures.job(1).build();
        for (double at = FIRST_ARRIVAL; at <= LAST_ARRIVAL; at += ARRIVAL_INTERVAL) {
            arrivalRates.recordArrival(job, at, true);
        }
        assertEquals(
                expected, arrivalRates.expectedTasks(job.jobClass(), BOOT_SECONDS, now), situation);
    }
}
