package org.springmill.control.controller;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MessageLimits;
import org.springmill.transport.EventLoop;

/**
 * Persists derived cancellations: those of jobs that were cancelled because one of their
 * dependencies was. Correctness does not depend on these writes, since every controller derives the
 * same cancellations from the records of the dependencies. They have the lowest priority, so that
 * many cancellations at the same time delay no placement round.
 *
 * <p>A compare-and-swap is rejected as a whole even if only one of its records is the reason. Its
 * records are then written one at a time, and only a record that is rejected on its own is
 * abandoned.
 */
final class CancellationPersister {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationPersister.class);

    /** Rate of these writes, as a ratio to the write rate limit of the key-value store. */
    private static final double WRITE_RATE_RATIO = 0.1;

    /** Leaves a quarter of a transaction to keys and conditions. */
    private static final int MAX_BATCH_BYTES = MessageLimits.MAX_BYTES * 3 / 4;

    private final KeyValueStoreClient store;
    private final JobDirectory directory;
    private final Leadership leadership;
    private final EventLoop loop;
    private boolean closed;

    /** Number of records still to be written one at a time. */
    private int singleWrites;

    CancellationPersister(
            KeyValueStoreClient store,
            JobDirectory directory,
            Leadership leadership,
            EventLoop loop) {
        this.store = store;
        this.directory = directory;
        this.leadership = leadership;
        this.loop = loop;
    }

    /** Stops writing. */
    void close() {
        closed = true;
    }

    /** Writes the next batch if there is one and nothing else is queued; repeats until closed. */
    void run() {
        if (closed) {
            return;
        }
        List<JobRecord> batch =
                withinOneTransaction(directory.dependencies().pendingPersistence(batchSize()));
        if (batch.isEmpty() || store.backlog() > 0 || !leadership.mayPlace()) {
            scheduleRunAfter(batch);
            return;
        }
        write(batch);
    }

    private int batchSize() {
        return singleWrites > 0 ? 1 : Math.max(1, store.limits().writesPerCommit() / 2);
    }

    /** The first records, as many as fit into one transaction, but at least one. */
    private List<JobRecord> withinOneTransaction(List<JobRecord> records) {
        int bytes = 0;
        for (int count = 0; count < records.size(); count++) {
            bytes += Json.bytes(records.get(count).encode(store.limits().valueBytes())).length;
            if (bytes > MAX_BATCH_BYTES) {
                return records.subList(0, Math.max(1, count));
            }
        }
        return records;
    }

    /** Schedules the next run for when the write rate allows it after a batch of that size. */
    private void scheduleRunAfter(List<JobRecord> batch) {
        double writesPerSecond = WRITE_RATE_RATIO * store.limits().writesPerSecond();
        loop.after(Math.max(1, batch.size()) / writesPerSecond, this::run);
    }

    private void write(List<JobRecord> batch) {
        int valueBytes = store.limits().valueBytes();
        List<Condition> conditions = new ArrayList<>();
        conditions.add(leadership.termCondition());
        List<Write> writes = new ArrayList<>();
        for (JobRecord job : batch) {
            conditions.add(new Condition(job.key(), job.version()));
            writes.add(Write.put(job.key(), job.encode(valueBytes)));
        }
        store.compareAndSwap(
                conditions,
                writes,
                result -> {
                    handleResult(batch, valueBytes, result);
                    scheduleRunAfter(batch);
                });
    }

    private void handleResult(List<JobRecord> batch, int valueBytes, CommitResult result) {
        switch (result.outcome()) {
            case COMMITTED -> committed(batch, result.revision());
            case REJECTED -> {
                // If this term is over, the next leader writes the records.
                if (!result.failed().contains(leadership.termCondition().key())) {
                    retrySinglyOrAbandon(batch);
                }
            }
            case TOO_LARGE -> {
                if (batch.size() > 1 || !isEncodedDifferently(batch.get(0), valueBytes)) {
                    retrySinglyOrAbandon(batch);
                }
            }
            case RETRYABLE, UNKNOWN -> {}
        }
    }

    private void committed(List<JobRecord> batch, long revision) {
        singleWrites = Math.max(0, singleWrites - batch.size());
        batch.forEach(job -> directory.merge(job.committed(revision)));
    }

    /** Retries a batch one record at a time; abandons a batch of a single record. */
    private void retrySinglyOrAbandon(List<JobRecord> batch) {
        if (batch.size() > 1) {
            singleWrites = batch.size();
            return;
        }
        singleWrites = Math.max(0, singleWrites - 1);
        LOG.warn(
                "key-value store rejects the derived cancellation of {}: not retried until its record changes",
                batch.get(0).id());
        directory.dependencies().abandonPersistence(batch);
    }

    /** Whether the size limit has changed such that the record is now encoded differently. */
    private boolean isEncodedDifferently(JobRecord job, int valueBytes) {
        return !job.encode(store.limits().valueBytes()).equals(job.encode(valueBytes));
    }
}
