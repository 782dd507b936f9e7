package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;

/** What speaks against placing new work on one machine: failed commands, failed jobs, a cordon. */
final class MachineFaults {
    /** A machine on which so many jobs failed in a row is taken to be faulty. */
    private static final int QUARANTINE_AFTER_JOBS = 2;

    /** Jobs of which a task failed here since a task last succeeded. */
    private final Set<Job> failedJobs = new HashSet<>();

    private boolean areCommandsFailing;
    private double cordonUntil = Double.NEGATIVE_INFINITY;

    void commandsFailed() {
        areCommandsFailing = true;
    }

    void commandsSucceeded() {
        areCommandsFailing = false;
    }

    boolean areCommandsFailing() {
        return areCommandsFailing;
    }

    /** Cordons the machine until the given time; an earlier end never shortens a cordon. */
    void cordonUntil(double time) {
        cordonUntil = Math.max(cordonUntil, time);
    }

    boolean isCordoned(double now) {
        return now < cordonUntil;
    }

    void taskFailed(Job job) {
        failedJobs.add(job);
    }

    void taskSucceeded() {
        failedJobs.clear();
    }

    /**
     * Whether enough jobs failed here that are not at fault themselves. Computed at each call,
     * since a job may only later be found to fail on every machine.
     */
    boolean isQuarantined() {
        return !failedJobs.isEmpty()
                && failedJobs.stream().filter(job -> !job.failures().isSuspect()).count()
                        >= QUARANTINE_AFTER_JOBS;
    }
}
