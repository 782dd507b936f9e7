package org.springmill.control.controller;

import org.springmill.control.cluster.ClusterState;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.KeyValueStoreMessages.Condition;

/** Tells which records of ended jobs may be archived: those that nothing needs any more. */
final class ArchivableJobs implements HistoryArchiver.ArchivableJobSource {
    private final JobDirectory directory;
    private final ClusterState clusterState;
    private final Leadership leadership;
    private final Metrics metrics;

    ArchivableJobs(
            JobDirectory directory,
            ClusterState clusterState,
            Leadership leadership,
            Metrics metrics) {
        this.directory = directory;
        this.clusterState = clusterState;
        this.leadership = leadership;
        this.metrics = metrics;
    }

    @Override
    public Condition termCondition() {
        return leadership.termCondition();
    }

    @Override
    public boolean mayArchive() {
        return leadership.mayPlace();
    }

    @Override
    public JobRecord record(String id) {
        return directory.get(id);
    }

    /**
     * The cluster state holds an ended job until it is proven and committed that all its attempts
     * are gone; until then a later leader needs the record to count the capacity they use.
     */
    @Override
    public boolean isArchivable(JobRecord record) {
        String id = record.id();
        boolean attemptsMayBeLeft = clusterState.job(id) != null;
        return !attemptsMayBeLeft
                && !directory.dependencies().isUnsettled(id)
                && !directory.dependencies().hasUnsettledDependents(id);
    }

    /**
     * Keeps the record until the watch delivers its deletion: changes before that may not have been
     * read yet, and would bring it back.
     */
    @Override
    public void archived(ArchivedJob job) {
        metrics.recordArchivedJob();
    }
}
