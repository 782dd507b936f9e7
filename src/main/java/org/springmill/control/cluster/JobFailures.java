package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The failed tasks of a job, and the backoff that follows from them. A job whose tasks fail on
 * several machines, with none succeeding in between, is suspect: it runs one task at a time, with
 * exponential backoff, until a task succeeds; each success then doubles the limit on concurrent
 * tasks.
 *
 * <p>Failures are not stored: after a failover a suspect job is tried once without a limit.
 */
public final class JobFailures {
    /** On how many machines tasks must fail, with no success in between, to suspect the job. */
    private static final int SUSPECT_FAILED_MACHINES = 2;

    private static final int MAX_PAUSE_STEPS = 32;
    private static final int MAX_DOUBLINGS = 5;

    /** A machine on which the job failed is excluded for this many steps. */
    private static final int EXCLUSION_STEPS = 32;

    /** The jitter lengthens a pause by up to this share. */
    private static final double JITTER_SHARE = 0.25;

    private static final int UNLIMITED_TASKS = Integer.MAX_VALUE;

    private final double jitter;
    private final Map<String, Double> excludedUntil = new HashMap<>();

    /** Machines on which it failed since a task last succeeded. */
    private final Set<String> failedMachines = new HashSet<>();

    private int failedTrials;
    private double trialFailedAt = Double.NEGATIVE_INFINITY;
    private double retryNotBefore;
    private int maxConcurrentTasks = UNLIMITED_TASKS;

    /**
     * @param jobId seeds the jitter, which is thus the same for every leader
     */
    JobFailures(String jobId) {
        int hash = jobId.hashCode();
        jitter = 1 + JITTER_SHARE * Math.floorMod(hash, 1000) / 1000.0;
    }

    /**
     * Records that a task failed. Tasks that were placed before the last failure was known belong
     * to the same trial and do not lengthen the pause.
     *
     * @param machine name of the machine on which it failed
     * @param placedAt when the task was placed, on the same clock as {@code now}
     * @param stepSeconds the shortest pause
     */
    public void recordFailure(String machine, double placedAt, double now, double stepSeconds) {
        failedMachines.add(machine);
        excludedUntil.put(machine, now + EXCLUSION_STEPS * stepSeconds);
        if (!isSuspect()) {
            return;
        }
        maxConcurrentTasks = 1;
        if (placedAt < trialFailedAt) {
            return;
        }
        int steps = Math.min(MAX_PAUSE_STEPS, 1 << Math.min(MAX_DOUBLINGS, failedTrials));
        retryNotBefore = now + stepSeconds * steps * jitter;
        trialFailedAt = now;
        failedTrials++;
    }

    /** Records that a task succeeded. */
    public void recordSuccess() {
        if (isSuspect()) {
            // The job was at fault, not the machines that were excluded for it.
            excludedUntil.clear();
        }
        failedMachines.clear();
        failedTrials = 0;
        retryNotBefore = 0;
        if (maxConcurrentTasks < UNLIMITED_TASKS) {
            maxConcurrentTasks =
                    maxConcurrentTasks > UNLIMITED_TASKS / 2
                            ? UNLIMITED_TASKS
                            : maxConcurrentTasks * 2;
        }
    }

    /** Records that other tasks of the job run well, so that failures are the machine's fault. */
    public void recordOtherTasksHealthy() {
        failedMachines.clear();
        failedTrials = 0;
    }

    /** Whether the job, and not its machines, is taken to be at fault. */
    public boolean isSuspect() {
        return failedMachines.size() >= SUSPECT_FAILED_MACHINES;
    }

    /** Whether the job failed on a machine recently, so that another one is preferred. */
    public boolean failedRecentlyOn(String machine, double now) {
        return !excludedUntil.isEmpty() && now < excludedUntil.getOrDefault(machine, 0.0);
    }

    /**
     * Whether a machine must not be used. Never for a suspect job: it would be excluded from every
     * machine in turn, and new ones would be rented for it.
     */
    public boolean excludes(String machine, double now) {
        return !isSuspect() && failedRecentlyOn(machine, now);
    }

    /** Whether any machine is or was excluded, so that machines must be checked for this job. */
    boolean hasExclusions() {
        return !excludedUntil.isEmpty();
    }

    /** No task is tried before this time. */
    public double retryNotBefore() {
        return retryNotBefore;
    }

    /** Limit on its concurrent tasks. */
    int maxConcurrentTasks() {
        return maxConcurrentTasks;
    }
}
