package org.springmill.control.api;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/**
 * Cancels jobs for users. The write is conditional on the version of the job's record, so that
 * whichever of done and cancelled is written first is final. The response is sent only after the
 * commit.
 */
final class CancellationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationHandler.class);

    private final JobDirectory directory;
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final JobStatusResponses responses;
    private final Consumer<Cancellation> broadcast;

    /**
     * @param broadcast called with each cancellation committed here, before the response to its
     *     user
     */
    CancellationHandler(
            JobDirectory directory,
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts,
            JobStatusResponses responses,
            Consumer<Cancellation> broadcast) {
        this.directory = directory;
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.responses = responses;
        this.broadcast = broadcast;
    }

    /** Cancels a job that may have ended already or may never have been submitted. */
    void cancel(Call call, String id) {
        if (!Submission.isValidId(id)) {
            JobStatusResponses.respondNotFound(call);
            return;
        }
        cancelById(call, id, loop.now() + JobStatusResponses.RESPONSE_DEADLINE_SECONDS);
    }

    private void cancelById(Call call, String id, double responseDeadline) {
        JobRecord known = directory.get(id);
        if (known != null) {
            cancel(call, known, responseDeadline);
            return;
        }
        directory.readBarrier(current -> cancelAfterBarrier(call, id, responseDeadline, current));
    }

    private void cancelAfterBarrier(
            Call call, String id, double responseDeadline, boolean current) {
        JobRecord job = directory.get(id);
        if (job != null) {
            cancel(call, job, responseDeadline);
        } else if (current) {
            directory.lookUpArchived(id, lookup -> respondArchived(call, lookup));
        } else {
            JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
        }
    }

    /** An archived job has ended. If it was cancelled, all controllers know of the cancellation. */
    private static void respondArchived(Call call, Lookup lookup) {
        JobStatusResponses.respondLookup(
                call,
                lookup,
                job -> JobStatusResponses.respondPhase(call, job),
                () -> JobStatusResponses.respondNotFound(call));
    }

    private void cancel(Call call, JobRecord job, double responseDeadline) {
        if (job.phase().isTerminal()) {
            respondEnded(call, job);
            return;
        }
        JobRecord cancelled = job.ended(JobPhase.CANCELLED, loop.timeOfDay());
        store.compareAndSwap(
                List.of(new Condition(job.key(), job.version())),
                List.of(Write.put(job.key(), cancelled.encode(store.limits().valueBytes()))),
                result -> commitCompleted(call, cancelled, responseDeadline, result));
    }

    private void commitCompleted(
            Call call, JobRecord cancelled, double responseDeadline, CommitResult result) {
        if (result.outcome() == CommitOutcome.COMMITTED) {
            committed(call, cancelled.committed(result.revision()));
        } else {
            notCommitted(call, cancelled.id(), responseDeadline, result);
        }
    }

    private void respondEnded(Call call, JobRecord job) {
        if (job.cancelled()) {
            // The cancellation may come from this request, if the response of the store was lost:
            // then no other controller knows of it yet.
            broadcast(job);
        }
        responses.respondPhase(call, job);
    }

    private void committed(Call call, JobRecord cancelled) {
        directory.merge(cancelled);
        LOG.debug("{} cancelled", cancelled.id());
        broadcast(cancelled);
        responses.respondPhase(call, cancelled);
    }

    private void broadcast(JobRecord cancelled) {
        broadcast.accept(
                new Cancellation(cancelled.id(), cancelled.version(), cancelled.endedAt()));
    }

    /**
     * Retries until the user's deadline. After a rejection the record has changed; if the outcome
     * is unknown, the read barrier shows whether the write was applied.
     */
    private void notCommitted(Call call, String id, double responseDeadline, CommitResult result) {
        boolean outage = result.outcome() == CommitOutcome.RETRYABLE && !store.isReachable();
        if (outage || loop.now() + timeouts.storeRequestTimeoutSeconds() > responseDeadline) {
            JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
            return;
        }
        loop.after(
                timeouts.commitRetryIntervalSeconds(),
                () -> directory.readBarrier(current -> cancelById(call, id, responseDeadline)));
    }
}
