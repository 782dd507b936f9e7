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

/** Ends the jobs of one leader's term: records that they are done, and drops what is over. */
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
     * @param skewSeconds bound on how far the time of day may be off
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

    void close() {
        closed = true;
    }

    /**
     * A job that ended while tasks of it may still be on machines: they count until they are proven
     * gone.
     */
    Job endedJob(String id) {
        JobRecord record = directory.get(id);
        Job job = new Job(record.submission(), record.version());
        job.end(record.phase(), record.version(), endedSince(record));
        clusterState.add(job);
        return job;
    }

    /**
     * Since when a job is to be counted as ended, by this clock; its end may have become known here
     * only later.
     */
    double endedSince(JobRecord record) {
        // A machine that can be reached answers within a report or so. Others are left alone for as
        // long as the time
        // allows: counting from the takeover, each new leader gave up a cut zone's machines with
        // all that ran on them.
        double ago = loop.timeOfDay() - record.endedAt() + 2 * skewSeconds;
        return loop.now()
                - Math.max(
                        0,
                        Math.min(
                                ago,
                                timeouts.cancellationDeletionTimeoutSeconds()
                                        - timeouts.heartbeatIntervalSeconds()));
    }

    /**
     * Machines with cancelled tasks that could not be stopped in time: the tasks can only go with
     * their machines.
     */
    List<Machine> machinesWithOverdueTasks() {
        double now = loop.now();
        return clusterState.jobs().values().stream()
                .filter(job -> !job.active() && job.liveCount() > 0)
                .filter(job -> now - job.endedAt() > timeouts.cancellationDeletionTimeoutSeconds())
                .flatMap(job -> job.attempts().stream())
                .filter(attempt -> attempt.state() == TaskAttempt.State.STOPPING)
                .map(TaskAttempt::machine)
                .toList();
    }

    /** Forgets a job that has ended and of which nothing runs any more. */
    void dropIfOver(Job job) {
        if (!job.active() && job.liveCount() == 0) {
            clusterState.dropJob(job);
        }
    }

    /** Records that a job is done once all of its tasks are. */
    void finishIfComplete(Job job) {
        if (job.active() && job.complete() && job.beginEnding()) {
            writeDone(job);
        }
    }

    /** The job's record decides between done and cancelled: whichever is written first stays. */
    private void writeDone(Job job) {
        if (closed || !job.active()) {
            return;
        }
        JobRecord done = directory.get(job.id()).ended(JobPhase.DONE, loop.timeOfDay());
        store.compareAndSwap(
                List.of(leadership.termCondition(), new Condition(done.key(), job.version())),
                List.of(Write.put(done.key(), done.encode(store.limits().valueBytes()))),
                result -> answered(job, done, result));
    }

    private void answered(Job job, JobRecord done, CommitResult result) {
        if (closed) {
            return;
        }
        if (result.outcome() == CommitOutcome.COMMITTED) {
            directory.learn(done.committed(result.revision()));
        } else if (result.outcome() == CommitOutcome.REJECTED && result.failed().isEmpty()) {
            // The same again would be refused for ever. A later leader tries once more.
            LOG.error("{} is done, but its record is refused by the state service", job.id());
        } else if (result.outcome() == CommitOutcome.REJECTED) {
            // Cancelled meanwhile, or an earlier copy of this write was applied: the record tells.
            directory.barrier(read -> writeDoneAgain(job));
        } else {
            loop.after(timeouts.peerPollIntervalSeconds(), () -> writeDone(job));
        }
    }

    private void writeDoneAgain(Job job) {
        if (job.active()) {
            loop.after(timeouts.leaderRenewIntervalSeconds(), () -> writeDone(job));
        }
    }
}
