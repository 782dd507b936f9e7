package org.springmill.control.controller;

import org.springmill.control.cluster.ClusterState;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.KeyValueStoreMessages.Condition;

/** Decides which records of ended jobs may be archived: those that are no longer needed. */
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
     * An ended job stays in the cluster state until the ends of all its attempts are committed.
     * Until then a later leader needs the record to account for the capacity that they use.
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
     * Leaves the record in the directory until the watch delivers its deletion: earlier changes may
     * still be unread and would restore a record that was removed now.
     */
    @Override
    public void archived(ArchivedJob job) {
        metrics.recordArchivedJob();
    }
}
