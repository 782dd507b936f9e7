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

/** Makes a new leader's jobs and attempts of what earlier leaders have committed. */
final class ClusterStateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterStateRecovery.class);

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
    List<JobRecord> activeJobs() {
        return directory.all().stream()
                .filter(JobRecord::active)
                .sorted(Comparator.comparingLong(JobRecord::version))
                .toList();
    }

    /** The records of jobs that have ended and are not moved yet. */
    List<JobRecord> endedJobs() {
        return directory.all().stream().filter(record -> !record.active()).toList();
    }

    /** A job with what is done of it. */
    Job job(JobRecord record, RoundLog.Rebuilt found) {
        Job job = new Job(record.submission(), record.version());
        BitSet done = found.done().get(record.id());
        if (done != null) {
            job.markDone(done);
        }
        return job;
    }

    /** Takes in a claim that has not ended: whether its task was ever started is unknown. */
    void adopt(Claim claim) {
        Job known = clusterState.job(claim.task().job());
        if (known == null && directory.get(claim.task().job()) == null) {
            // A record is moved only once no claim of its job is left.
            LOG.error("claim of {} although its record has been moved", claim.task());
            return;
        }
        Job job = known == null ? jobCompletion.endedJob(claim.task().job()) : known;
        Machine machine = fleet.machine(claim.machine());
        TaskAttempt attempt = new TaskAttempt(claim, job, machine, loop.now());
        attempt.recordStartSent(machine.fencingToken() - 1, 0);
        clusterState.add(attempt);
        attempt.transition(TaskAttempt.State.UNKNOWN, loop.now());
        if (!job.active()) {
            fleet.stop(attempt, 0);
        }
    }
}
