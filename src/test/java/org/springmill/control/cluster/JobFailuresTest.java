package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Backoff and concurrency limit of a job whose tasks fail. */
class JobFailuresTest {
    private static final double STEP = 3.5;

    private static JobFailures failedOnTwoMachines(String jobId) {
        JobFailures failures = new JobFailures(jobId);
        failures.recordFailure("host-000001", 0, 1, STEP);
        failures.recordFailure("host-000002", 0, 1, STEP);
        return failures;
    }

    @Test
    void failuresOnOneMachineDoNotMakeTheJobSuspect() {
        JobFailures failures = new JobFailures("run-000001");
        failures.recordFailure("host-000001", 0, 1, STEP);
        failures.recordFailure("host-000001", 0, 1, STEP);
        assertFalse(failures.isSuspect());
        assertEquals(0, failures.retryNotBefore());
        assertEquals(Integer.MAX_VALUE, failures.maxConcurrentTasks());
        assertTrue(failures.excludes("host-000001", 2));
        assertFalse(failures.excludes("host-000002", 2));
    }

    @Test
    void tasksOfOneTrialDoNotLengthenThePause() {
        JobFailures failures = failedOnTwoMachines("run-000001");
        double notBefore = failures.retryNotBefore();
        failures.recordFailure("host-000003", 0, 2, STEP);
        assertEquals(notBefore, failures.retryNotBefore());
    }

    @Test
    void eachSuccessDoublesTheConcurrencyLimit() {
        JobFailures failures = failedOnTwoMachines("run-000001");
        assertEquals(1, failures.maxConcurrentTasks());
        failures.recordSuccess();
        assertFalse(failures.isSuspect());
        assertEquals(2, failures.maxConcurrentTasks());
        for (int i = 0; i < 40; i++) {
            failures.recordSuccess();
        }
        assertEquals(Integer.MAX_VALUE, failures.maxConcurrentTasks());
        assertEquals(0, failures.retryNotBefore());
    }

    /** The pause doubles with each trial, up to 32 steps, with at most a quarter of jitter. */
    @Property(tries = 200, seed = "42")
    void pauseDoublesUpToItsMaximum(
            @ForAll @IntRange(min = 0, max = 999_999) int number,
            @ForAll @IntRange(min = 0, max = 12) int trials) {
        JobFailures failures = failedOnTwoMachines("run-" + number);
        double now = 1;
        for (int i = 0; i < trials; i++) {
            now = failures.retryNotBefore() + 1;
            failures.recordFailure("host-000003", now - 0.5, now, STEP);
        }
        double pause = failures.retryNotBefore() - now;
        double nominal = STEP * Math.min(32, Math.pow(2, trials));
        assertTrue(pause >= nominal && pause <= nominal * 1.25, pause + " for " + nominal);
    }
}
