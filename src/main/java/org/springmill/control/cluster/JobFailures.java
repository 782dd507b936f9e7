package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What a job's failed tasks say of the job. Tasks that fail on several machines with none
 * succeeding in between speak against the job: it is tried with one task at a time, after pauses
 * that grow, until a task succeeds; from then on with twice as many after each success.
 *
 * <p>A new leader knows nothing of this and tries such a job once at its full width.
 */
public final class JobFailures {
    /** Failures on so many machines in a row are the job's fault rather than the machines'. */
    private static final int SUSPECT_AFTER_MACHINES = 2;

    private static final int MAX_PAUSE_STEPS = 32;
    private static final int MAX_DOUBLINGS = 5;

    /** A machine on which the job failed is left out for this many steps. */
    private static final int EXCLUSION_STEPS = 32;

    /** Pauses differ by up to so much of their length from one job to the next. */
    private static final double JITTER_SHARE = 0.25;

    private static final int UNLIMITED_TASKS = Integer.MAX_VALUE;

    private final double jitter;
    private final Map<String, Double> excludedUntil = new HashMap<>();

    /** Machines on which it failed since a task last succeeded. */
    private final Set<String> failedMachines = new HashSet<>();

    private int failedTrials;
    private double trialFailedAt = Double.NEGATIVE_INFINITY;
    private double notBefore;
    private int maxConcurrentTasks = UNLIMITED_TASKS;

    /**
     * @param jobId from which the job's part of the jitter follows, alike at every leader
     */
    JobFailures(String jobId) {
        int hash = jobId.hashCode();
        jitter = 1 + JITTER_SHARE * Math.floorMod(hash, 1000) / 1000.0;
    }

    /**
     * Notes that a task failed. Tasks that were placed before the last failure was known belong to
     * the same trial and lengthen no pause.
     *
     * @param placedAt when the task was placed
     * @param stepSeconds the shortest pause
     */
    public void failed(String machine, double placedAt, double now, double stepSeconds) {
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
        notBefore = now + stepSeconds * steps * jitter;
        trialFailedAt = now;
        failedTrials++;
    }

    /** Notes that a task succeeded. */
    public void succeeded() {
        if (isSuspect()) {
            // The job was at fault and is no longer: its machines are none to avoid.
            excludedUntil.clear();
        }
        failedMachines.clear();
        failedTrials = 0;
        notBefore = 0;
        if (maxConcurrentTasks < UNLIMITED_TASKS) {
            maxConcurrentTasks =
                    maxConcurrentTasks > UNLIMITED_TASKS / 2
                            ? UNLIMITED_TASKS
                            : maxConcurrentTasks * 2;
        }
    }

    /** Notes that another task of the job runs well, so that a failure is the machine's. */
    public void othersRunWell() {
        failedMachines.clear();
        failedTrials = 0;
    }

    /** Whether the job rather than its machines is taken to be at fault. */
    public boolean isSuspect() {
        return failedMachines.size() >= SUSPECT_AFTER_MACHINES;
    }

    /** On how many machines it failed since a task last succeeded. */
    int failedMachineCount() {
        return failedMachines.size();
    }

    /** Whether the job failed on a machine lately, so that any other is better. */
    public boolean avoids(String machine, double now) {
        return !excludedUntil.isEmpty() && now < excludedUntil.getOrDefault(machine, 0.0);
    }

    /**
     * Whether a machine is left out altogether. Not for a job that is at fault itself: left out
     * everywhere in turn, it would have new machines rented for it.
     */
    public boolean excludes(String machine, double now) {
        return !isSuspect() && avoids(machine, now);
    }

    /** Whether machines differ for it by where it failed. */
    boolean hasExclusions() {
        return !excludedUntil.isEmpty();
    }

    /** No task is tried before this time. */
    public double notBefore() {
        return notBefore;
    }

    /** How many tasks may be on machines at once. */
    int maxConcurrentTasks() {
        return maxConcurrentTasks;
    }
}
