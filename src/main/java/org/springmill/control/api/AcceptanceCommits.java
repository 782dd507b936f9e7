package org.springmill.control.api;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/** Creates the records of submitted jobs in the key-value store, on condition that none exists. */
final class AcceptanceCommits {
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final int maxUncommitted;

    /** Submissions whose records are being written to the key-value store, oldest first. */
    private final Set<PendingSubmission> uncommitted = new LinkedHashSet<>();

    /**
     * @param maxUncommitted maximum number of records that are being written at a time
     */
    AcceptanceCommits(
            KeyValueStoreClient store, EventLoop loop, Timeouts timeouts, int maxUncommitted) {
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.maxUncommitted = maxUncommitted;
    }

    /**
     * Expected seconds until one more record is written: the wait due to this controller's share of
     * the rate limits, but at least the time that the oldest uncommitted record has taken so far.
     * Infinite if no more records may be written now.
     */
    double expectedWaitSeconds() {
        if (uncommitted.size() >= maxUncommitted) {
            return Double.POSITIVE_INFINITY;
        }
        double shareWaitSeconds = store.expectedWaitSeconds(1);
        return uncommitted.isEmpty()
                ? shareWaitSeconds
                : Math.max(shareWaitSeconds, secondsSinceOldest());
    }

    private double secondsSinceOldest() {
        return loop.now() - uncommitted.iterator().next().arrivedAt();
    }

    /** Latest time to send a request to the key-value store so that the user's deadline is met. */
    double sendBy(PendingSubmission submission) {
        return submission.responseDeadline() - timeouts.storeRequestTimeoutSeconds();
    }

    /**
     * Creates the record of a job, retrying until the user's deadline.
     *
     * @param onResult called with the final result
     */
    void commit(PendingSubmission submission, Consumer<CommitResult> onResult) {
        uncommitted.add(submission);
        send(submission, onResult);
    }

    private void send(PendingSubmission submission, Consumer<CommitResult> onResult) {
        JobRecord job = submission.job();
        // A job whose record has been archived was accepted before, and has ended.
        store.compareAndSwapAcceptance(
                List.of(new Condition(job.key(), 0), new Condition(ArchivedJob.key(job.id()), 0)),
                List.of(Write.put(job.key(), job.encode())),
                sendBy(submission),
                result -> resultReceived(submission, result, onResult));
    }

    private void resultReceived(
            PendingSubmission submission, CommitResult result, Consumer<CommitResult> onResult) {
        if (mayRetry(submission, result)) {
            loop.after(timeouts.commitRetryIntervalSeconds(), () -> send(submission, onResult));
            return;
        }
        uncommitted.remove(submission);
        onResult.accept(result);
    }

    /**
     * Whether to send the same write again because it was not executed or its outcome is unknown.
     * Its conditions ensure that it is applied at most once.
     */
    private boolean mayRetry(PendingSubmission submission, CommitResult result) {
        boolean outage = result.outcome() == CommitOutcome.RETRYABLE && !store.isReachable();
        boolean undecided =
                result.outcome() == CommitOutcome.RETRYABLE
                        || result.outcome() == CommitOutcome.UNKNOWN;
        boolean inTime =
                loop.now() + timeouts.storeRequestTimeoutSeconds() < submission.responseDeadline();
        return undecided && !outage && inTime;
    }
}
