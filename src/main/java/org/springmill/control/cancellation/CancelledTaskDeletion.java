package org.springmill.control.cancellation;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.CloudClient;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;

/**
 * Deletes the machines of overdue cancelled tasks while no leader is heard that knows them.
 * Deletion needs no leadership: whatever it ends has ended (docs/design.md, claim 6.4). While a
 * leader answers, that leader deletes them.
 */
final class CancelledTaskDeletion {
    private static final Logger LOG = LoggerFactory.getLogger(CancelledTaskDeletion.class);

    /** Half of what the link to a controller queues. */
    static final int MAX_RECORDS_PER_CHECK = 8;

    private final CancelledTasks cancelledTasks;
    private final LeaderKnowledge leaderKnowledge;
    private final Peers peers;
    private final CloudClient cloud;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double rememberSeconds;
    private boolean isRequestPending;

    /**
     * @param rememberSeconds how long the machines of a job are kept while a leader is heard
     */
    CancelledTaskDeletion(
            CancelledTasks cancelledTasks,
            LeaderKnowledge leaderKnowledge,
            Peers peers,
            CloudClient cloud,
            EventLoop loop,
            Timeouts timeouts,
            double rememberSeconds) {
        this.cancelledTasks = cancelledTasks;
        this.leaderKnowledge = leaderKnowledge;
        this.peers = peers;
        this.cloud = cloud;
        this.loop = loop;
        this.timeouts = timeouts;
        this.rememberSeconds = rememberSeconds;
    }

    /** Runs one check and schedules the next. */
    void run() {
        loop.after(timeouts.leaderRenewIntervalSeconds(), this::run);
        double now = loop.now();
        cancelledTasks.forgetEndedSince(now - rememberSeconds);
        double overdueSince = now - timeouts.cancellationDeletionTimeoutSeconds();
        if (leaderKnowledge.isComplete()) {
            updateAsLeader();
        } else if (peers.anyLeads()) {
            leaveToLeader(overdueSince, now);
        } else {
            deleteMachinesOf(cancelledTasks.jobsWithMachinesSince(overdueSince));
        }
    }

    /**
     * Asks the leader what is left, for some time before it is overdue. A leader that does not
     * answer has not recovered the state of earlier leaders, or does not know of the cancellation.
     */
    private void leaveToLeader(double overdueSince, double now) {
        double answerTimeoutSeconds = timeouts.leaderLeaseSeconds();
        cancelledTasks.jobsWithMachinesSince(overdueSince + answerTimeoutSeconds).stream()
                .filter(
                        job ->
                                !cancelledTasks.isConfirmedSince(
                                        job, now - answerTimeoutSeconds / 2))
                .limit(MAX_RECORDS_PER_CHECK)
                .forEach(peers::queryCancelledTasks);
        List<String> unanswered =
                cancelledTasks.jobsWithMachinesSince(overdueSince).stream()
                        .filter(
                                job ->
                                        !cancelledTasks.isConfirmedSince(
                                                job, now - answerTimeoutSeconds))
                        .toList();
        deleteMachinesOf(unanswered);
        cancelledTasks.jobsWithMachinesSince(now - rememberSeconds).forEach(cancelledTasks::forget);
    }

    /** Tells the other controllers where tasks have ended since the last check. */
    private void updateAsLeader() {
        cancelledTasks.jobsWithMachinesSince(Double.POSITIVE_INFINITY).stream()
                .filter(this::hasChanged)
                .limit(MAX_RECORDS_PER_CHECK)
                .toList()
                .forEach(this::updateAsLeader);
    }

    private boolean hasChanged(String job) {
        return leaderKnowledge
                .machinesOfCancelled(job)
                .filter(machines -> !machines.equals(cancelledTasks.machinesOf(job)))
                .isPresent();
    }

    private void updateAsLeader(String job) {
        leaderKnowledge
                .machinesOfCancelled(job)
                .ifPresent(
                        machines -> {
                            cancelledTasks.set(job, machines, loop.now());
                            peers.broadcastCancelledTaskMachines(job, machines);
                        });
    }

    private void deleteMachinesOf(List<String> jobs) {
        List<String> machines =
                jobs.stream()
                        .flatMap(job -> cancelledTasks.machinesOf(job).stream())
                        .distinct()
                        .limit(CloudMessages.MAX_DELETIONS)
                        .toList();
        if (machines.isEmpty() || isRequestPending) {
            return;
        }
        LOG.warn("deleting machines {}: cancelled tasks on them, and no leader is heard", machines);
        isRequestPending = true;
        cloud.delete(machines, reply -> deletionAnswered(machines, reply));
    }

    private void deletionAnswered(List<String> machines, Reply reply) {
        isRequestPending = false;
        if (reply.ok()) {
            cancelledTasks
                    .removeMachines(machines)
                    .forEach(
                            job ->
                                    peers.broadcastCancelledTaskMachines(
                                            job, cancelledTasks.machinesOf(job)));
        }
    }
}
