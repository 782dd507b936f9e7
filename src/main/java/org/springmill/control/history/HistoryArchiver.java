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
 * Moves the records of ended jobs from {@code job/} to {@code ended/}, each in one transaction that
 * deletes the one and creates the other. It belongs to one term of leadership: only the leader
 * knows that no task of a job is left anywhere.
 *
 * <p>Nothing waits for a move, so moves have the lowest standing among all that is written: they
 * take a small share of the changes, none while anything else waits, and pause when the state
 * service refuses or does not answer.
 */
public final class HistoryArchiver {
    private static final Logger LOG = LoggerFactory.getLogger(HistoryArchiver.class);

    /** Share of the changes that the key-value store takes. */
    private static final double WRITE_SHARE = 0.1;

    /** A move deletes one key and creates another. */
    private static final int WRITES_PER_RECORD = 2;

    /** A job that cannot be moved yet is looked at again after this share of the retention. */
    private static final double RETRY_SHARE = 0.25;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final HistoryMembership membership;
    private final Jobs jobs;
    private final double retentionSeconds;
    private final double backoffSeconds;
    private final RetentionQueue retentionQueue = new RetentionQueue();
    private int recordsToCommitSingly;
    private boolean isClosed;

    /** What the mover has to know of jobs and of the leadership. */
    public interface Jobs {
        /** The condition that holds as long as this controller leads. */
        Condition leadership();

        /** Whether this controller is sure of its lease. */
        boolean mayMove();

        /** The record of a job as this controller knows it; null once it has been moved. */
        JobRecord record(String id);

        /**
         * Whether nothing needs the record any more: its end is stored in it, no task of the job
         * may be left on a machine, and no job that has not ended waits on it.
         */
        boolean settled(JobRecord record);

        /** The move of a record was committed. */
        void moved(ArchivedJob job);
    }

    /**
     * @param retentionSeconds how long after its end a record stays where it is
     * @param pauseSeconds for how long to write nothing after the key-value store refused or fell
     *     silent
     */
    public HistoryArchiver(
            KeyValueStoreClient store,
            EventLoop loop,
            HistoryMembership membership,
            Jobs jobs,
            double retentionSeconds,
            double pauseSeconds) {
        this.store = store;
        this.loop = loop;
        this.membership = membership;
        this.jobs = jobs;
        this.retentionSeconds = retentionSeconds;
        this.backoffSeconds = pauseSeconds;
    }

    /** Takes note of a job that has ended; it is moved once its retention is over. */
    public void ended(JobRecord record) {
        // A job that was cancelled by a lagging clock, or whose end is not dated, is due at once.
        double age = loop.timeOfDay() - record.endedAt();
        retentionQueue.add(record.id(), loop.now() + Math.max(0, retentionSeconds - age));
    }

    /** Jobs that wait for their retention to end. */
    public int waiting() {
        return retentionQueue.size();
    }

    /** Begins to move records, and goes on until closed. */
    public void start() {
        // The others have to be heard first, and a takeover has better things to write.
        loop.after(backoffSeconds, this::archiveNextBatch);
    }

    /** Moves nothing more. */
    public void close() {
        isClosed = true;
    }

    private void archiveNextBatch() {
        if (isClosed) {
            return;
        }
        boolean busy = store.backlog() > 0 || !jobs.mayMove() || !membership.allParticipate();
        List<JobRecord> batch = busy ? List.of() : takeArchivable();
        if (batch.isEmpty()) {
            scheduleNextBatch(1);
        } else {
            archive(batch);
        }
    }

    /** Waits for as long as so many moves use up the share of the changes. */
    private void scheduleNextBatch(int moves) {
        double changesPerSecond = WRITE_SHARE * store.limits().writesPerSecond();
        loop.after(moves * WRITES_PER_RECORD / changesPerSecond, this::archiveNextBatch);
    }

    private int batchSize() {
        int most =
                recordsToCommitSingly > 0
                        ? 1
                        : store.limits().writesPerCommit() / WRITES_PER_RECORD;
        return Math.max(1, most);
    }

    private List<JobRecord> takeArchivable() {
        List<JobRecord> batch = new ArrayList<>();
        for (String id : retentionQueue.pollDue(loop.now(), batchSize())) {
            JobRecord record = jobs.record(id);
            if (record == null || record.active()) {
                continue;
            }
            if (jobs.settled(record)) {
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
        conditions.add(jobs.leadership());
        List<Write> writes = new ArrayList<>();
        for (JobRecord record : batch) {
            ArchivedJob ended = ArchivedJob.of(record);
            conditions.add(new Condition(record.key(), record.version()));
            conditions.add(new Condition(ended.key(), 0));
            writes.add(Write.delete(record.key()));
            writes.add(Write.put(ended.key(), ended.encode()));
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
                batch.forEach(record -> jobs.moved(ArchivedJob.of(record)));
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
                // It may have been applied, or be applied later: the feed of records tells. Tried
                // again it fails on the record's version, and so does a late copy.
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
                // Moving it would overwrite the state that users were told. Its record stays.
                LOG.error(
                        "{} has ended a second time: a version that does not know the history"
                                + " accepted it anew",
                        record.id());
            } else if (failed.contains(record.key())) {
                // Its record has changed or was moved by an earlier copy; the feed tells.
                requeueLater(record);
            } else if (failed.isEmpty()) {
                retrySingly(batch, record);
            } else {
                requeueNow(record);
            }
        }
    }

    /** A transaction that the key-value store does not take as a whole goes record by record. */
    private void retrySingly(List<JobRecord> batch, JobRecord record) {
        if (batch.size() > 1) {
            recordsToCommitSingly = batch.size();
            requeueNow(record);
        } else {
            LOG.warn("the record of {} cannot be moved", record.id());
        }
    }

    private void tooLarge(List<JobRecord> batch) {
        // Smaller limits are kept to from here on, also by the next batch.
        batch.forEach(record -> retrySingly(batch, record));
    }
}
