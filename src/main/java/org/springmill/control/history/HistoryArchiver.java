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
    private static final int WRITES_PER_MOVE = 2;

    /** A job that cannot be moved yet is looked at again after this share of the retention. */
    private static final double RETRY_SHARE = 0.25;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final HistoryMembership membership;
    private final Jobs jobs;
    private final double retentionSeconds;
    private final double pauseSeconds;
    private final RetentionQueue queue = new RetentionQueue();
    private int singleMoves;
    private boolean closed;

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
        this.pauseSeconds = pauseSeconds;
    }

    /** Takes note of a job that has ended; it is moved once its retention is over. */
    public void ended(JobRecord record) {
        // A job that was cancelled by a lagging clock, or whose end is not dated, is due at once.
        double age = loop.timeOfDay() - record.endedAt();
        queue.add(record.id(), loop.now() + Math.max(0, retentionSeconds - age));
    }

    /** Jobs that wait for their retention to end. */
    public int waiting() {
        return queue.size();
    }

    /** Begins to move records, and goes on until closed. */
    public void start() {
        // The others have to be heard first, and a takeover has better things to write.
        loop.after(pauseSeconds, this::run);
    }

    /** Moves nothing more. */
    public void close() {
        closed = true;
    }

    private void run() {
        if (closed) {
            return;
        }
        boolean busy = store.backlog() > 0 || !jobs.mayMove() || !membership.allTakePart();
        List<JobRecord> batch = busy ? List.of() : takeSettled();
        if (batch.isEmpty()) {
            runAfter(1);
        } else {
            move(batch);
        }
    }

    /** Waits for as long as so many moves use up the share of the changes. */
    private void runAfter(int moves) {
        double changesPerSecond = WRITE_SHARE * store.limits().writesPerSecond();
        loop.after(moves * WRITES_PER_MOVE / changesPerSecond, this::run);
    }

    private int batchSize() {
        int most = singleMoves > 0 ? 1 : store.limits().writesPerCommit() / WRITES_PER_MOVE;
        return Math.max(1, most);
    }

    private List<JobRecord> takeSettled() {
        List<JobRecord> batch = new ArrayList<>();
        for (String id : queue.take(loop.now(), batchSize())) {
            JobRecord record = jobs.record(id);
            if (record == null || record.active()) {
                continue;
            }
            if (jobs.settled(record)) {
                batch.add(record);
            } else {
                putBack(record);
            }
        }
        return batch;
    }

    private void putBack(JobRecord record) {
        queue.add(record.id(), loop.now() + RETRY_SHARE * retentionSeconds);
    }

    private void move(List<JobRecord> batch) {
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
        store.compareAndSwap(conditions, writes, result -> answered(batch, result));
    }

    private void answered(List<JobRecord> batch, CommitResult result) {
        if (closed) {
            return;
        }
        singleMoves = Math.max(0, singleMoves - batch.size());
        switch (result.outcome()) {
            case COMMITTED -> {
                batch.forEach(record -> jobs.moved(ArchivedJob.of(record)));
                runAfter(batch.size());
            }
            case REJECTED -> {
                refused(batch, result.failed());
                runAfter(batch.size());
            }
            case TOO_LARGE -> {
                tooLarge(batch);
                runAfter(batch.size());
            }
            case RETRYABLE, UNKNOWN -> {
                // It may have been applied, or be applied later: the feed of records tells. Tried
                // again it fails on the record's version, and so does a late copy.
                batch.forEach(this::putBackNow);
                loop.after(pauseSeconds, this::run);
            }
        }
    }

    private void putBackNow(JobRecord record) {
        queue.add(record.id(), loop.now());
    }

    private void refused(List<JobRecord> batch, List<String> failed) {
        for (JobRecord record : batch) {
            if (failed.contains(ArchivedJob.key(record.id()))) {
                // Moving it would overwrite the state that users were told. Its record stays.
                LOG.error(
                        "{} has ended a second time: a version that does not know the history"
                                + " accepted it anew",
                        record.id());
            } else if (failed.contains(record.key())) {
                // Its record has changed or was moved by an earlier copy; the feed tells.
                putBack(record);
            } else if (failed.isEmpty()) {
                retrySingly(batch, record);
            } else {
                putBackNow(record);
            }
        }
    }

    /** A transaction that the key-value store does not take as a whole goes record by record. */
    private void retrySingly(List<JobRecord> batch, JobRecord record) {
        if (batch.size() > 1) {
            singleMoves = batch.size();
            putBackNow(record);
        } else {
            LOG.warn("the record of {} cannot be moved", record.id());
        }
    }

    private void tooLarge(List<JobRecord> batch) {
        // Smaller limits are kept to from here on, also by the next batch.
        batch.forEach(record -> retrySingly(batch, record));
    }
}
