package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;

/** Reasons not to place new work on one machine: failed commands, failed jobs, a cordon. */
final class MachineFaults {
    /** How many jobs must fail on a machine, with no success in between, to quarantine it. */
    private static final int QUARANTINE_AFTER_JOBS = 2;

    /** Jobs of which a task has failed on the machine since a task last succeeded there. */
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

    /** Cordons the machine until the given time; an earlier time does not shorten a cordon. */
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
     * Whether enough jobs that are not suspect themselves failed on the machine. Computed at each
     * call, since a job may become suspect only later.
     */
    boolean isQuarantined() {
        return !failedJobs.isEmpty()
                && failedJobs.stream().filter(job -> !job.failures().isSuspect()).count()
                        >= QUARANTINE_AFTER_JOBS;
    }
}
