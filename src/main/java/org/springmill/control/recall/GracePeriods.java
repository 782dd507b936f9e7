package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Submission;

/** How long tasks that are recalled may save, and what stopping them loses. */
final class GracePeriods {
    /** A save in a crowd of saves takes longer; past this multiple it is given up. */
    private static final double SAVE_TIMES = 1.5;

    /** A halt and the report that a task is gone take a report interval each at worst. */
    private static final double REPORTS_UNTIL_GONE = 2;

    private final double reportSeconds;
    private final double maxGraceSeconds;

    GracePeriods(Timeouts timeouts, OperatorSettings.Borrowing terms) {
        reportSeconds = timeouts.heartbeatIntervalSeconds();
        maxGraceSeconds = terms.maxGraceLeases() * timeouts.workerLeaseSeconds();
    }

    /** Whether a task is let save: one whose save takes longer than the terms allow is not. */
    boolean maySave(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        return spec.checkpoints()
                && spec.checkpointSaveSeconds() <= maxGraceSeconds
                && !attempt.machine().hasPreemptionNotice();
    }

    private double saveSeconds(TaskAttempt attempt) {
        return maySave(attempt) ? attempt.job().spec().checkpointSaveSeconds() : 0;
    }

    /** How long the longest save of some tasks takes when they are stopped; 0 if none saves. */
    double longestSaveSeconds(List<TaskAttempt> attempts) {
        return attempts.stream().mapToDouble(this::saveSeconds).max().orElse(0);
    }

    /** The grace that the halt of a task names. */
    double graceSeconds(TaskAttempt attempt) {
        return maySave(attempt) ? attempt.job().spec().checkpointSaveSeconds() + reportSeconds : 0;
    }

    /** Bound on the time until a task that takes so long to save is taken not to. */
    double boundOnSaving(double saveSeconds) {
        return SAVE_TIMES * saveSeconds + REPORTS_UNTIL_GONE * reportSeconds;
    }

    /** A task that was told to stop longer ago than this is not counted on to go. */
    double boundOnLeaving(TaskAttempt attempt) {
        return boundOnSaving(attempt.graceSeconds()) + boundOnEnding();
    }

    /** Bound on the time until a task that was stopped without grace is proven gone. */
    double boundOnEnding() {
        return REPORTS_UNTIL_GONE * reportSeconds;
    }

    /**
     * Seconds of a task's work that are lost if it is stopped now, by this leader's clock: that
     * since its last checkpoint, or all of it. What is saved costs the time of saving.
     */
    double lostWork(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.ranSeconds(now);
        if (maySave(attempt)) {
            return Math.min(ran, spec.checkpointSaveSeconds());
        }
        return spec.checkpoints() ? ran % spec.checkpointIntervalSeconds() : ran;
    }
}
