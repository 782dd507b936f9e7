package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Submission;

/**
 * Computes the grace periods in which recalled tasks may write a checkpoint, the timeouts that
 * follow from them, and the work that is lost when a task is stopped.
 */
final class GracePeriods {
    /**
     * Concurrent checkpoints slow each other down, so a checkpoint is abandoned only after this
     * multiple of its stated duration.
     */
    private static final double CHECKPOINT_TIMEOUT_FACTOR = 1.5;

    /**
     * In the worst case, the stop command and the heartbeat that reports the end take one interval
     * each.
     */
    private static final double HEARTBEATS_UNTIL_PROVEN_ENDED = 2;

    private final double heartbeatIntervalSeconds;
    private final double maxGraceSeconds;

    GracePeriods(Timeouts timeouts, OperatorSettings.Borrowing settings) {
        heartbeatIntervalSeconds = timeouts.heartbeatIntervalSeconds();
        maxGraceSeconds = settings.maxGraceLeases() * timeouts.workerLeaseSeconds();
    }

    /**
     * Whether a task may write a checkpoint when it is stopped: not if that takes longer than the
     * settings allow, or if its machine has a preemption notice.
     */
    boolean mayCheckpoint(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        return spec.hasCheckpoints()
                && spec.checkpointSaveSeconds() <= maxGraceSeconds
                && !attempt.machine().hasPreemptionNotice();
    }

    private double checkpointSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt) ? attempt.job().spec().checkpointSaveSeconds() : 0;
    }

    /**
     * The longest checkpoint duration among tasks that are stopped; 0 if none of them writes one.
     */
    double longestCheckpointSeconds(List<TaskAttempt> attempts) {
        return attempts.stream().mapToDouble(this::checkpointSeconds).max().orElse(0);
    }

    /** The grace period in the stop command of a task. */
    double graceSeconds(TaskAttempt attempt) {
        return mayCheckpoint(attempt)
                ? attempt.job().spec().checkpointSaveSeconds() + heartbeatIntervalSeconds
                : 0;
    }

    /** Time after which a checkpoint of the given duration counts as failed. */
    double checkpointTimeoutSeconds(double checkpointSeconds) {
        return CHECKPOINT_TIMEOUT_FACTOR * checkpointSeconds
                + HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /** Time after which a stopping task is no longer expected to end. */
    double stopTimeoutSeconds(TaskAttempt attempt) {
        return checkpointTimeoutSeconds(attempt.graceSeconds()) + endTimeoutSeconds();
    }

    /** Bound on the time until a task that was stopped without grace is proven to have ended. */
    double endTimeoutSeconds() {
        return HEARTBEATS_UNTIL_PROVEN_ENDED * heartbeatIntervalSeconds;
    }

    /**
     * Seconds of work that are lost if a task is stopped now. For a task that may write a
     * checkpoint, this is the time the checkpoint takes, at most its running time. For one that has
     * checkpoints but may not write another, it is the time since the last periodic one, otherwise
     * the whole running time.
     *
     * @param now in seconds on this leader's clock
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
