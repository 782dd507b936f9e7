package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Submission;

/** Grace periods in which recalled tasks may write a checkpoint, and the work that stops lose. */
final class GracePeriods {
    /** Concurrent checkpoints slow each other down; past this multiple one is abandoned. */
    private static final double CHECKPOINT_TIMEOUT_FACTOR = 1.5;

    /** A stop command and the heartbeat that proves the end take an interval each at worst. */
    private static final double HEARTBEATS_UNTIL_PROVEN_ENDED = 2;

    private final double heartbeatIntervalSeconds;
    private final double maxGraceSeconds;

    GracePeriods(Timeouts timeouts, OperatorSettings.Borrowing settings) {
        heartbeatIntervalSeconds = timeouts.heartbeatIntervalSeconds();
        maxGraceSeconds = settings.maxGraceLeases() * timeouts.workerLeaseSeconds();
    }

    /** Whether a task may write a checkpoint: not if that takes longer than the settings allow. */
    boolean mayCheckpoint(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        return spec.hasCheckpoints()
                && spec.checkpointSaveSeconds() <= maxGraceSeconds
                && !attempt.machine().hasPreemptionNotice();
    }

    private double checkpointSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt) ? attempt.job().spec().checkpointSaveSeconds() : 0;
    }

    /** Duration of the longest checkpoint of some tasks that are stopped; 0 if none writes one. */
    double longestCheckpointSeconds(List<TaskAttempt> attempts) {
        return attempts.stream().mapToDouble(this::checkpointSeconds).max().orElse(0);
    }

    /** The grace period in the stop command of a task. */
    double graceSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt)
                ? attempt.job().spec().checkpointSaveSeconds() + heartbeatIntervalSeconds
                : 0;
    }

    /** After this time a checkpoint of the duration given is taken to have failed. */
    double checkpointTimeoutSeconds(double checkpointSeconds) {
        return CHECKPOINT_TIMEOUT_FACTOR * checkpointSeconds
                + HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /** A task whose stop began longer ago than this is not expected to end. */
    double stopTimeoutSeconds(TaskAttempt attempt) {
        return checkpointTimeoutSeconds(attempt.graceSeconds()) + endTimeoutSeconds();
    }

    /** Bound on the time until a task that was stopped without grace is proven to have ended. */
    double endTimeoutSeconds() {
        return HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /**
     * Seconds of a task's work that are lost if it is stopped now, by this leader's clock: those
     * since its last checkpoint, or all of them. If it may write a checkpoint, the time of that.
     */
    double lostWorkSeconds(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.runningSeconds(now);
        if (mayCheckpoint(attempt)) {
            return Math.min(ran, spec.checkpointSaveSeconds());
        }
        return spec.hasCheckpoints() ? ran % spec.checkpointIntervalSeconds() : ran;
    }
}
