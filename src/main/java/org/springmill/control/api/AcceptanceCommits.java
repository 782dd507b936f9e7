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

/**
 * Creates the records of submitted jobs in the key-value store, on condition that there is none.
 */
final class AcceptanceCommits {
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final int maxUncommitted;

    /** Submissions whose records are on their way to the key-value store, the oldest first. */
    private final Set<PendingSubmission> uncommitted = new LinkedHashSet<>();

    /**
     * @param maxUncommitted submissions whose records may be on their way at a time
     */
    AcceptanceCommits(
            KeyValueStoreClient store, EventLoop loop, Timeouts timeouts, int maxUncommitted) {
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.maxUncommitted = maxUncommitted;
    }

    /**
     * How many seconds one more record would wait for the key-value store: by this controller's
     * share of its limits, and at least as long as the oldest that is on its way has waited.
     * Infinite if no more may be on their way.
     */
    double expectedWaitSeconds() {
        if (uncommitted.size() >= maxUncommitted) {
            return Double.POSITIVE_INFINITY;
        }
        double byShare = store.expectedWaitSeconds(1);
        return uncommitted.isEmpty() ? byShare : Math.max(byShare, secondsSinceOldest());
    }

    private double secondsSinceOldest() {
        return loop.now() - uncommitted.iterator().next().since();
    }

    /** The time by which a request to the key-value store has to be sent to be of use. */
    double sendBy(PendingSubmission submission) {
        return submission.answerBy() - timeouts.storeRequestTimeoutSeconds();
    }

    /**
     * Creates the record of a job, retrying while there is time.
     *
     * @param onResult gets the final result
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
                result -> answered(submission, result, onResult));
    }

    private void answered(
            PendingSubmission submission, CommitResult result, Consumer<CommitResult> onResult) {
        if (mayRetry(submission, result)) {
            loop.after(timeouts.commitRetryIntervalSeconds(), () -> send(submission, onResult));
            return;
        }
        uncommitted.remove(submission);
        onResult.accept(result);
    }

    /**
     * Whether the same write is to be sent again: it was not executed, or may have been. It is
     * applied once at most.
     */
    private boolean mayRetry(PendingSubmission submission, CommitResult result) {
        boolean outage = result.outcome() == CommitOutcome.RETRYABLE && !store.isReachable();
        boolean undecided =
                result.outcome() == CommitOutcome.RETRYABLE
                        || result.outcome() == CommitOutcome.UNKNOWN;
        boolean inTime = loop.now() + timeouts.storeRequestTimeoutSeconds() < submission.answerBy();
        return undecided && !outage && inTime;
    }
}
