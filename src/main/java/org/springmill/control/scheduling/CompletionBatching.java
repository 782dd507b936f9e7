package org.springmill.control.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.WorkerMessages.ExitCause;

/**
 * Decides for how long ended attempts may wait so that they are committed together with later ones.
 * Each round costs writes of the key-value store; at a low rate limit, a round for each single end
 * delayed the claims of new tasks. Only ends on which nothing depends are batched.
 */
final class CompletionBatching {
    /**
     * Longest wait, in intervals between rounds; short compared with the time that starting a task
     * may take.
     */
    private static final double MAX_WAIT_INTERVALS = 4;

    private final double maxWaitSeconds;

    /**
     * @param roundIntervalSeconds minimum time between two rounds
     */
    CompletionBatching(double roundIntervalSeconds) {
        this.maxWaitSeconds = MAX_WAIT_INTERVALS * roundIntervalSeconds;
    }

    /**
     * Seconds for which a round with only these ends may be postponed; 0 if something depends on
     * one of them.
     *
     * @param hasWaitingTasks whether any task waits to be placed, perhaps for the capacity that an
     *     end frees
     */
    double postponeSeconds(Collection<TaskAttempt> ended, boolean hasWaitingTasks, double now) {
        if (hasWaitingTasks) {
            return 0;
        }
        Map<Job, Integer> finishedTasks = new HashMap<>();
        double firstEndAt = now;
        for (TaskAttempt attempt : ended) {
            Job job = attempt.job();
            firstEndAt = Math.min(firstEndAt, attempt.stateSince());
            if (job.isActive() && attempt.exitCause() != ExitCause.DONE) {
                return 0;
            }
            int finished = finishedTasks.merge(job, 1, Integer::sum);
            if (job.isActive() && job.doneTaskCount() + finished >= job.spec().tasks()) {
                return 0;
            }
        }
        return Math.max(0, firstEndAt + maxWaitSeconds - now);
    }
}
