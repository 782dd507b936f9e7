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
 * Cancels jobs for users. The write is conditional on the version of the job's record, so that of
 * done and cancelled the first stays; the user is answered only after the commit.
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
     * @param announce told of each cancellation committed here, before its user is
     */
    CancellationHandler(
            JobDirectory directory,
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts,
            JobStatusResponses responses,
            Consumer<Cancellation> announce) {
        this.directory = directory;
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.responses = responses;
        this.broadcast = announce;
    }

    /** Cancels a job that may be over already or may never have been submitted. */
    void withdraw(Call call, String id) {
        if (!Submission.validId(id)) {
            JobStatusResponses.notFound(call);
            return;
        }
        withdraw(call, id, loop.now() + JobStatusResponses.ANSWER_WITHIN_SECONDS);
    }

    private void withdraw(Call call, String id, double answerBy) {
        JobRecord known = directory.get(id);
        if (known != null) {
            cancel(call, known, answerBy);
            return;
        }
        directory.barrier(
                current -> {
                    JobRecord job = directory.get(id);
                    if (job != null) {
                        cancel(call, job, answerBy);
                    } else if (current) {
                        directory.findArchived(id, lookup -> respondArchived(call, lookup));
                    } else {
                        JobStatusResponses.unavailable(
                                call, JobStatusResponses.STATE_SERVICE_SILENT);
                    }
                });
    }

    /** A job that was moved is over: its cancellation, if it was cancelled, is known to all. */
    private static void respondArchived(Call call, Lookup lookup) {
        JobStatusResponses.lookedUp(
                call,
                lookup,
                job -> JobStatusResponses.phase(call, job),
                () -> JobStatusResponses.notFound(call));
    }

    private void cancel(Call call, JobRecord job, double answerBy) {
        if (job.phase().terminal()) {
            respondEnded(call, job);
            return;
        }
        JobRecord cancelled = job.ended(JobPhase.CANCELLED, loop.timeOfDay());
        store.compareAndSwap(
                List.of(new Condition(job.key(), job.version())),
                List.of(Write.put(job.key(), cancelled.encode(store.limits().valueBytes()))),
                result -> {
                    if (result.outcome() == CommitOutcome.COMMITTED) {
                        committed(call, cancelled.committed(result.revision()));
                    } else {
                        notCommitted(call, job.id(), answerBy, result);
                    }
                });
    }

    private void respondEnded(Call call, JobRecord job) {
        if (job.cancelled()) {
            // Perhaps by a write of this very request whose answer was lost: nobody has told the
            // others then.
            broadcast(job);
        }
        responses.phase(call, job);
    }

    private void committed(Call call, JobRecord cancelled) {
        directory.learn(cancelled);
        LOG.debug("{} cancelled", cancelled.id());
        broadcast(cancelled);
        responses.phase(call, cancelled);
    }

    private void broadcast(JobRecord cancelled) {
        broadcast.accept(
                new Cancellation(cancelled.id(), cancelled.version(), cancelled.endedAt()));
    }

    /**
     * Tries again while there is time. After a refusal the record has moved on; without an answer
     * the barrier tells whether the write was applied.
     */
    private void notCommitted(Call call, String id, double answerBy, CommitResult result) {
        boolean outage = result.outcome() == CommitOutcome.RETRYABLE && !store.reachable();
        if (outage || loop.now() + timeouts.storeRequestTimeoutSeconds() > answerBy) {
            JobStatusResponses.unavailable(call, JobStatusResponses.STATE_SERVICE_SILENT);
            return;
        }
        loop.after(
                timeouts.peerPollIntervalSeconds() / 4,
                () -> directory.barrier(current -> withdraw(call, id, answerBy)));
    }
}
