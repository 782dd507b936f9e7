package org.springmill.control.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.WorkerMessages.ExitCause;

/**
 * Decides whether ended attempts may wait for a later round. Every round costs writes of the state
 * service, and at a low limit a round for each single end kept the claims of new work waiting for
 * the budget. An end that nothing depends on is committed together with later ones.
 */
final class CompletionBatching {
    /** Longest wait, in gaps between rounds: short against what a start may take. */
    private static final double MAX_WAIT_INTERVALS = 4;

    private final double maxWaitSeconds;

    CompletionBatching(double roundIntervalSeconds) {
        this.maxWaitSeconds = MAX_WAIT_INTERVALS * roundIntervalSeconds;
    }

    /**
     * Seconds for which a round with nothing but these ends may be put off; 0 if something depends
     * on one of them.
     *
     * @param workWaits whether any task waits to be placed, perhaps for the room that an end frees
     */
    double postponeSeconds(Collection<TaskAttempt> ended, boolean workWaits, double now) {
        if (workWaits) {
            return 0;
        }
        Map<Job, Integer> finishedTasks = new HashMap<>();
        double firstEnd = now;
        for (TaskAttempt attempt : ended) {
            Job job = attempt.job();
            firstEnd = Math.min(firstEnd, attempt.stateSince());
            if (job.active() && attempt.cause() != ExitCause.DONE) {
                return 0;
            }
            int finished = finishedTasks.merge(job, 1, Integer::sum);
            if (job.active() && job.doneCount() + finished >= job.spec().tasks()) {
                return 0;
            }
        }
        return Math.max(0, firstEnd + maxWaitSeconds - now);
    }
}
