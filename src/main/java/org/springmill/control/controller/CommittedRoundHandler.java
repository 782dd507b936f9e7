package org.springmill.control.controller;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.WorkloadBroadcast;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.workers.CommandDispatcher;

/** Acts on the outcome of placement rounds: only what is committed is sent to workers. */
final class CommittedRoundHandler implements PlacementRounds.Listener {
    private final Metrics metrics;
    private final Leadership leadership;
    private final WorkloadBroadcast broadcast;
    private final CommandDispatcher dispatcher;
    private final JobCompletion jobCompletion;

    CommittedRoundHandler(
            Metrics metrics,
            Leadership leadership,
            WorkloadBroadcast broadcast,
            CommandDispatcher dispatcher,
            JobCompletion jobCompletion) {
        this.metrics = metrics;
        this.leadership = leadership;
        this.broadcast = broadcast;
        this.dispatcher = dispatcher;
        this.jobCompletion = jobCompletion;
    }

    @Override
    public void committed(List<TaskAttempt> claimed, List<TaskAttempt> ended, double startedAt) {
        metrics.recordRoundCommit(startedAt, claimed.size(), ended.size());
        broadcast.recordPlaced(claimed);
        for (TaskAttempt attempt : claimed) {
            dispatcher.requestSend(attempt.machine());
        }
        for (TaskAttempt attempt : ended) {
            dispatcher.requestSend(attempt.machine());
            jobCompletion.finishIfComplete(attempt.job());
            jobCompletion.removeIfEnded(attempt.job());
        }
    }

    @Override
    public void rejected() {
        leadership.stepDown("a round was refused");
    }
}
