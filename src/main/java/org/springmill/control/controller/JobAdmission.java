package org.springmill.control.controller;

import org.springmill.control.autoscaling.ArrivalRateEstimator;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.DependencyPriority;
import org.springmill.control.cluster.Job;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.transport.EventLoop;

/** Brings jobs into the cluster state, and makes them eligible once their dependencies are done. */
final class JobAdmission {
    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final DependencyPriority dependencyPriority;
    private final ArrivalRateEstimator arrivalRates;
    private final PlacementRounds rounds;
    private final EventLoop loop;

    JobAdmission(
            JobDirectory directory,
            ClusterState clusterState,
            DependencyPriority dependencyPriority,
            ArrivalRateEstimator arrivalRates,
            PlacementRounds rounds,
            EventLoop loop) {
        this.directory = directory;
        this.clusterState = clusterState;
        this.dependencyPriority = dependencyPriority;
        this.arrivalRates = arrivalRates;
        this.rounds = rounds;
        this.loop = loop;
    }

    /** Admits a job recovered from the key-value store, which does not count as a new arrival. */
    void admitRecovered(Job job) {
        admit(job, false);
    }

    /** Admits a newly accepted job. */
    void admitNew(Job job) {
        admit(job, true);
    }

    private void admit(Job job, boolean countsAsArrival) {
        clusterState.add(job);
        dependencyPriority.recordChange(job);
        if (dependenciesJustDone(job)) {
            makeEligible(job);
        }
        if (job.isEligible()) {
            requestPlacement(job, countsAsArrival);
        }
    }

    /** Requests placement of a job that waited for dependencies if all of them are now done. */
    void releaseIfReady(Job job) {
        if (dependenciesJustDone(job)) {
            makeEligible(job);
            requestPlacement(job, true);
        }
    }

    /**
     * Releases the jobs whose last open dependency was this job, and requests a round for them
     * without waiting for the next tick.
     */
    void releaseDependents(String doneJobId) {
        for (String id : directory.dependencies().dependents(doneJobId)) {
            Job dependent = clusterState.job(id);
            if (dependent != null) {
                releaseIfReady(dependent);
            }
        }
    }

    private boolean dependenciesJustDone(Job job) {
        return job.waitsForDependencies() && directory.dependencies().isReady(job.spec());
    }

    private void makeEligible(Job job) {
        job.becomeEligible(directory.dependencies().readySinceRevision(job.spec()));
    }

    private void requestPlacement(Job job, boolean countsAsArrival) {
        arrivalRates.recordArrival(job.spec(), loop.now(), countsAsArrival);
        rounds.request();
    }
}
