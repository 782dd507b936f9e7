package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Submission;

/** How long tasks that are recalled may save, and what stopping them loses. */
final class GracePeriods {
    /** A save in a crowd of saves takes longer; past this multiple it is given up. */
    private static final double CHECKPOINT_TIMEOUT_FACTOR = 1.5;

    /** A halt and the report that a task is gone take a report interval each at worst. */
    private static final double HEARTBEATS_UNTIL_PROVEN_ENDED = 2;

    private final double heartbeatIntervalSeconds;
    private final double maxGraceSeconds;

    GracePeriods(Timeouts timeouts, OperatorSettings.Borrowing terms) {
        heartbeatIntervalSeconds = timeouts.heartbeatIntervalSeconds();
        maxGraceSeconds = terms.maxGraceLeases() * timeouts.workerLeaseSeconds();
    }

    /** Whether a task is let save: one whose save takes longer than the terms allow is not. */
    boolean mayCheckpoint(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        return spec.checkpoints()
                && spec.checkpointSaveSeconds() <= maxGraceSeconds
                && !attempt.machine().hasPreemptionNotice();
    }

    private double checkpointSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt) ? attempt.job().spec().checkpointSaveSeconds() : 0;
    }

    /** How long the longest save of some tasks takes when they are stopped; 0 if none saves. */
    double longestCheckpointSeconds(List<TaskAttempt> attempts) {
        return attempts.stream().mapToDouble(this::checkpointSeconds).max().orElse(0);
    }

    /** The grace that the halt of a task names. */
    double graceSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt)
                ? attempt.job().spec().checkpointSaveSeconds() + heartbeatIntervalSeconds
                : 0;
    }

    /** Bound on the time until a task that takes so long to save is taken not to. */
    double checkpointTimeoutSeconds(double saveSeconds) {
        return CHECKPOINT_TIMEOUT_FACTOR * saveSeconds
                + HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /** A task that was told to stop longer ago than this is not counted on to go. */
    double stopTimeoutSeconds(TaskAttempt attempt) {
        return checkpointTimeoutSeconds(attempt.graceSeconds()) + endTimeoutSeconds();
    }

    /** Bound on the time until a task that was stopped without grace is proven gone. */
    double endTimeoutSeconds() {
        return HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /**
     * Seconds of a task's work that are lost if it is stopped now, by this leader's clock: that
     * since its last checkpoint, or all of it. What is saved costs the time of saving.
     */
    double lostWorkSeconds(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.ranSeconds(now);
        if (mayCheckpoint(attempt)) {
            return Math.min(ran, spec.checkpointSaveSeconds());
        }
        return spec.checkpoints() ? ran % spec.checkpointIntervalSeconds() : ran;
    }
}
