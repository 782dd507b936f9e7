package org.springmill.control.controller;

import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.storage.Claim;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.RoundLog;
import org.springmill.transport.EventLoop;

/** Recovers the jobs and task attempts of a new leader from what earlier leaders committed. */
final class ClusterStateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterStateRecovery.class);
    private static final long START_EPOCH_UNKNOWN = 0;
    private static final double NO_GRACE = 0;

    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final Fleet fleet;
    private final JobCompletion jobCompletion;
    private final EventLoop loop;

    ClusterStateRecovery(
            JobDirectory directory,
            ClusterState clusterState,
            Fleet fleet,
            JobCompletion jobCompletion,
            EventLoop loop) {
        this.directory = directory;
        this.clusterState = clusterState;
        this.fleet = fleet;
        this.jobCompletion = jobCompletion;
        this.loop = loop;
    }

    /** The records of jobs that have not ended, in the order in which they were accepted. */
    List<JobRecord> activeRecords() {
        return directory.all().stream()
                .filter(JobRecord::active)
                .sorted(Comparator.comparingLong(JobRecord::version))
                .toList();
    }

    /** The records of jobs that have ended and are not archived yet. */
    List<JobRecord> endedRecords() {
        return directory.all().stream().filter(record -> !record.active()).toList();
    }

    /** Recovers an active job and marks its completed tasks as done. */
    Job recoverJob(JobRecord record, RoundLog.RecoveredRounds rounds) {
        Job job = new Job(record.submission(), record.version());
        BitSet doneTasks = rounds.done().get(record.id());
        if (doneTasks != null) {
            job.markDone(doneTasks);
        }
        return job;
    }

    /**
     * Recovers the attempt of a claim that has not ended. Whether its task was ever started is
     * unknown until reconciliation.
     */
    void recoverAttempt(Claim claim) {
        String jobId = claim.task().job();
        Job knownJob = clusterState.job(jobId);
        if (knownJob == null && directory.get(jobId) == null) {
            // A record is archived only once no claim of its job is left.
            LOG.error(
                    "ignoring the live claim of {}: it has no job record, which should be kept until its claims end",
                    claim.task());
            return;
        }
        Job job = knownJob == null ? jobCompletion.recoverEndedJob(jobId) : knownJob;
        Machine machine = fleet.getOrAdd(claim.machine());
        TaskAttempt attempt = new TaskAttempt(claim, job, machine, loop.now());
        // Start commands of earlier leaders carry lower fencing tokens than any of this term. Once
        // the worker has seen a token of this term, it rejects them (docs/design.md, claim 6.1).
        attempt.recordStartSent(machine.fencingToken() - 1, START_EPOCH_UNKNOWN);
        clusterState.add(attempt);
        attempt.transition(TaskAttempt.State.UNKNOWN, loop.now());
        if (!job.isActive()) {
            fleet.stop(attempt, NO_GRACE);
        }
    }
}
