package org.springmill.control.history;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/**
 * Archives the records of ended jobs: one transaction deletes the record under {@code job/} and
 * creates the archived one under {@code ended/}. An archiver is used for one term of a leader,
 * since only the leader knows that no task of a job is left on any machine.
 *
 * <p>Nothing waits for archiving, so it has the lowest priority of all writes: it uses a small
 * share of the write rate, sends nothing while another transaction is queued, and backs off when
 * the key-value store refuses or does not respond.
 */
public final class HistoryArchiver {
    private static final Logger LOG = LoggerFactory.getLogger(HistoryArchiver.class);

    /** Share of the key-value store's write rate limit that archiving uses. */
    private static final double WRITE_SHARE = 0.1;

    /** Archiving a record deletes one key and creates another. */
    private static final int WRITES_PER_RECORD = 2;

    /** A job that cannot be archived yet is checked again after this share of the retention. */
    private static final double RETRY_SHARE = 0.25;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final HistoryMembership membership;
    private final ArchivableJobSource jobs;
    private final double retentionSeconds;
    private final double backoffSeconds;
    private final RetentionQueue retentionQueue = new RetentionQueue();

    /** Records that are still to be committed one by one, after a batch was rejected as a whole. */
    private int recordsToCommitSingly;

    private boolean isClosed;

    /** Provides the state of jobs and of the leader's term. */
    public interface ArchivableJobSource {
        /** The condition that holds as long as this controller leads. */
        Condition termCondition();

        /** Whether this controller's lease as the leader is certain, so that it may archive. */
        boolean mayArchive();

        /** The record of a job as this controller knows it; null once it is archived. */
        JobRecord record(String id);

        /**
         * Whether nothing needs the record any more: its end is stored in it, no task of the job
         * may be left on a machine, and no active job depends on it.
         */
        boolean isArchivable(JobRecord record);

        /** Called when the archiving of a record is committed. */
        void archived(ArchivedJob job);
    }

    /**
     * Creates an archiver that does nothing until it is started.
     *
     * @param retentionSeconds how long a record stays under {@code job/} after its end
     * @param backoffSeconds how long to pause after the key-value store refused or did not respond
     */
    public HistoryArchiver(
            KeyValueStoreClient store,
            EventLoop loop,
            HistoryMembership membership,
            ArchivableJobSource jobs,
            double retentionSeconds,
            double backoffSeconds) {
        this.store = store;
        this.loop = loop;
        this.membership = membership;
        this.jobs = jobs;
        this.retentionSeconds = retentionSeconds;
        this.backoffSeconds = backoffSeconds;
    }

    /** Adds a job that has ended; it is archived once its retention is over. */
    public void jobEnded(JobRecord record) {
        // If the time of the end is unknown (0) or from a clock far behind, the job is due
        // immediately.
        double age = loop.timeOfDay() - record.endedAt();
        retentionQueue.add(record.id(), loop.now() + Math.max(0, retentionSeconds - age));
    }

    /** Number of ended jobs that are queued for archiving. */
    public int pendingCount() {
        return retentionQueue.size();
    }

    /** Starts archiving records; continues until closed. */
    public void start() {
        // Messages of all peers should arrive first, and a failover has more urgent writes.
        loop.after(backoffSeconds, this::archiveNextBatch);
    }

    /** Stops the archiver at the end of the leader's term: no more transactions are sent. */
    public void close() {
        isClosed = true;
    }

    private void archiveNextBatch() {
        if (isClosed) {
            return;
        }
        boolean busy = store.backlog() > 0 || !jobs.mayArchive() || !membership.allParticipate();
        List<JobRecord> batch = busy ? List.of() : takeArchivable();
        if (batch.isEmpty()) {
            scheduleNextBatch(1);
        } else {
            archive(batch);
        }
    }

    /** Schedules the next batch after the time that the write share allows for these records. */
    private void scheduleNextBatch(int records) {
        double writesPerSecond = WRITE_SHARE * store.limits().writesPerSecond();
        loop.after(records * WRITES_PER_RECORD / writesPerSecond, this::archiveNextBatch);
    }

    private int batchSize() {
        int maxRecords =
                recordsToCommitSingly > 0
                        ? 1
                        : store.limits().writesPerCommit() / WRITES_PER_RECORD;
        return Math.max(1, maxRecords);
    }

    private List<JobRecord> takeArchivable() {
        List<JobRecord> batch = new ArrayList<>();
        for (String id : retentionQueue.pollDue(loop.now(), batchSize())) {
            JobRecord record = jobs.record(id);
            if (record == null || record.active()) {
                continue;
            }
            if (jobs.isArchivable(record)) {
                batch.add(record);
            } else {
                requeueLater(record);
            }
        }
        return batch;
    }

    private void requeueLater(JobRecord record) {
        retentionQueue.add(record.id(), loop.now() + RETRY_SHARE * retentionSeconds);
    }

    private void archive(List<JobRecord> batch) {
        List<Condition> conditions = new ArrayList<>();
        conditions.add(jobs.termCondition());
        List<Write> writes = new ArrayList<>();
        for (JobRecord record : batch) {
            ArchivedJob archived = ArchivedJob.of(record);
            conditions.add(new Condition(record.key(), record.version()));
            conditions.add(new Condition(archived.key(), 0));
            writes.add(Write.delete(record.key()));
            writes.add(Write.put(archived.key(), archived.encode()));
        }
        store.compareAndSwap(conditions, writes, result -> responseReceived(batch, result));
    }

    private void responseReceived(List<JobRecord> batch, CommitResult result) {
        if (isClosed) {
            return;
        }
        recordsToCommitSingly = Math.max(0, recordsToCommitSingly - batch.size());
        switch (result.outcome()) {
            case COMMITTED -> {
                batch.forEach(record -> jobs.archived(ArchivedJob.of(record)));
                scheduleNextBatch(batch.size());
            }
            case REJECTED -> {
                rejected(batch, result.failed());
                scheduleNextBatch(batch.size());
            }
            case TOO_LARGE -> {
                tooLarge(batch);
                scheduleNextBatch(batch.size());
            }
            case RETRYABLE, UNKNOWN -> {
                // It may have been applied, or be applied later; the watch of job records shows it.
                // A retry then fails on the record's version, and so does a late copy.
                batch.forEach(this::requeueNow);
                loop.after(backoffSeconds, this::archiveNextBatch);
            }
        }
    }

    private void requeueNow(JobRecord record) {
        retentionQueue.add(record.id(), loop.now());
    }

    private void rejected(List<JobRecord> batch, List<String> failed) {
        for (JobRecord record : batch) {
            if (failed.contains(ArchivedJob.key(record.id()))) {
                // Archiving it would overwrite a final state that users may have received.
                LOG.error(
                        "job {} has ended a second time: a version that does not know the archive"
                                + " accepted it again; its new record is not archived",
                        record.id());
            } else if (failed.contains(record.key())) {
                // The record has changed or an earlier copy archived it; the watch will show that.
                requeueLater(record);
            } else if (failed.isEmpty()) {
                retrySingly(batch, record);
            } else {
                requeueNow(record);
            }
        }
    }

    /** Retries records one by one after the store rejected their transaction as a whole. */
    private void retrySingly(List<JobRecord> batch, JobRecord record) {
        if (batch.size() > 1) {
            recordsToCommitSingly = batch.size();
            requeueNow(record);
        } else {
            LOG.warn(
                    "record of job {} not archived: rejected by the key-value store; no retry until the"
                            + " record changes or the term ends",
                    record.id());
        }
    }

    private void tooLarge(List<JobRecord> batch) {
        // The limits have been lowered, also for the next batch.
        batch.forEach(record -> retrySingly(batch, record));
    }
}
