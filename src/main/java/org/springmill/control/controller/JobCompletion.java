package org.springmill.control.controller;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.EventLoop;

/**
 * Completes jobs during one term: marks their records as done, and removes ended jobs from the
 * cluster state once they have no attempts left.
 */
final class JobCompletion {
    private static final Logger LOG = LoggerFactory.getLogger(JobCompletion.class);

    private final KeyValueStoreClient store;
    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final Leadership leadership;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double skewSeconds;
    private boolean closed;

    /**
     * @param skewSeconds bound on the error of a controller's time of day
     */
    JobCompletion(
            KeyValueStoreClient store,
            JobDirectory directory,
            ClusterState clusterState,
            Leadership leadership,
            EventLoop loop,
            Timeouts timeouts,
            double skewSeconds) {
        this.store = store;
        this.directory = directory;
        this.clusterState = clusterState;
        this.leadership = leadership;
        this.loop = loop;
        this.timeouts = timeouts;
        this.skewSeconds = skewSeconds;
    }

    /** Stops writing. */
    void close() {
        closed = true;
    }

    /**
     * Adds an ended job to the cluster state. Its attempts may still be on machines, where they use
     * capacity until they are known to have ended.
     */
    Job recoverEndedJob(String id) {
        JobRecord record = directory.get(id);
        Job job = new Job(record.submission(), record.version());
        job.end(record.version(), endTime(record));
        clusterState.add(job);
        return job;
    }

    /**
     * When a job ended, in seconds of the event loop's clock. The record holds the time of day, and
     * may have reached this controller much later.
     */
    double endTime(JobRecord record) {
        // At least one heartbeat interval of the timeout is left, in which a reachable worker
        // reports. Otherwise a new leader would immediately delete the machines of a partitioned
        // zone together with all tasks on them.
        double secondsSinceEnd = loop.timeOfDay() - record.endedAt() + 2 * skewSeconds;
        double maxSecondsSinceEnd =
                timeouts.cancellationDeletionTimeoutSeconds() - timeouts.heartbeatIntervalSeconds();
        return loop.now() - Math.max(0, Math.min(secondsSinceEnd, maxSecondsSinceEnd));
    }

    /**
     * Machines with cancelled tasks that could not be stopped in time: such tasks end only when
     * their machines are deleted.
     */
    List<Machine> machinesWithOverdueTasks() {
        double now = loop.now();
        return clusterState.jobs().values().stream()
                .filter(job -> !job.isActive() && job.attemptCount() > 0)
                .filter(job -> now - job.endedAt() > timeouts.cancellationDeletionTimeoutSeconds())
                .flatMap(job -> job.attempts().stream())
                .filter(attempt -> attempt.state() == TaskAttempt.State.STOPPING)
                .map(TaskAttempt::machine)
                .toList();
    }

    /** Removes a job from the cluster state if it has ended and has no live attempt. */
    void removeIfEnded(Job job) {
        if (!job.isActive() && job.attemptCount() == 0) {
            clusterState.removeJob(job);
        }
    }

    /** Marks a job as done if all of its tasks are done. */
    void finishIfComplete(Job job) {
        if (job.isActive() && job.isComplete() && job.beginCompletion()) {
            writeDone(job);
        }
    }

    /**
     * Completion can race with a cancellation; the compare-and-swap lets only the first succeed.
     */
    private void writeDone(Job job) {
        if (closed || !job.isActive()) {
            return;
        }
        JobRecord done = directory.get(job.id()).ended(JobPhase.DONE, loop.timeOfDay());
        store.compareAndSwap(
                List.of(leadership.termCondition(), new Condition(done.key(), job.version())),
                List.of(Write.put(done.key(), done.encode(store.limits().valueBytes()))),
                result -> handleResult(job, done, result));
    }

    private void handleResult(Job job, JobRecord done, CommitResult result) {
        if (closed) {
            return;
        }
        if (result.outcome() == CommitOutcome.COMMITTED) {
            directory.merge(done.committed(result.revision()));
        } else if (result.outcome() == CommitOutcome.REJECTED && result.failed().isEmpty()) {
            // The key-value store would reject a retry as well. The next leader tries once more.
            LOG.error("the key-value store rejects the record of {}, which is done", job.id());
        } else if (result.outcome() == CommitOutcome.REJECTED) {
            // The job was cancelled meanwhile, or an earlier copy of this write was applied. The
            // current record shows which.
            directory.readBarrier(read -> retryLater(job));
        } else {
            loop.after(timeouts.peerPollIntervalSeconds(), () -> writeDone(job));
        }
    }

    private void retryLater(Job job) {
        if (job.isActive()) {
            loop.after(timeouts.leaderRenewIntervalSeconds(), () -> writeDone(job));
        }
    }
}
