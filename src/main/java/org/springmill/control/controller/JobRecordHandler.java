package org.springmill.control.controller;

import java.util.Optional;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.DependencyPriority;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.workers.CommandDispatcher;
import org.springmill.protocol.UserMessages.JobPhase;

/** Applies changes of job records, made here or by another controller, to the cluster state. */
final class JobRecordHandler {
    private final TermLifecycle lifecycle;
    private final ClusterState clusterState;
    private final Fleet fleet;
    private final DependencyPriority dependencyPriority;
    private final JobAdmission jobAdmission;
    private final JobCompletion jobCompletion;
    private final CommandDispatcher dispatcher;
    private final PlacementRounds rounds;
    private final Optional<HistoryArchiver> historyArchiver;

    JobRecordHandler(
            TermLifecycle lifecycle,
            ClusterState clusterState,
            Fleet fleet,
            DependencyPriority dependencyPriority,
            JobAdmission jobAdmission,
            JobCompletion jobCompletion,
            CommandDispatcher dispatcher,
            PlacementRounds rounds,
            Optional<HistoryArchiver> historyArchiver) {
        this.lifecycle = lifecycle;
        this.clusterState = clusterState;
        this.fleet = fleet;
        this.dependencyPriority = dependencyPriority;
        this.jobAdmission = jobAdmission;
        this.jobCompletion = jobCompletion;
        this.dispatcher = dispatcher;
        this.rounds = rounds;
        this.historyArchiver = historyArchiver;
    }

    /** Applies a changed record. Ignored before recovery, which reads all records itself. */
    void recordChanged(JobRecord record) {
        if (!lifecycle.isActive()) {
            return;
        }
        if (record.phase() == JobPhase.DONE) {
            jobAdmission.releaseDependents(record.id());
        }
        if (!record.active()) {
            historyArchiver.ifPresent(archiver -> archiver.jobEnded(record));
        }
        Job job = clusterState.job(record.id());
        if (record.active()) {
            activeRecordChanged(record, job);
        } else if (job != null && job.isActive()) {
            end(job, record);
        }
    }

    private void activeRecordChanged(JobRecord record, Job job) {
        if (job == null) {
            jobAdmission.admitNew(new Job(record.submission(), record.version()));
        } else {
            // Its dependencies may only now be known to be done.
            jobAdmission.releaseIfReady(job);
        }
    }

    /** Ends a job that was cancelled or is done, and stops its attempts. */
    private void end(Job job, JobRecord record) {
        job.end(record.version(), jobCompletion.endTime(record));
        dependencyPriority.recordChange(job);
        for (TaskAttempt attempt : job.attempts()) {
            fleet.stop(attempt, 0);
            dispatcher.requestSend(attempt.machine());
        }
        jobCompletion.removeIfEnded(job);
        rounds.request();
    }
}
