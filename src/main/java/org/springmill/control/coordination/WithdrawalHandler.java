package org.springmill.control.coordination;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.history.EndedJobs.Lookup;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StateStore;
import org.springmill.control.storage.StateStore.CommitResult;
import org.springmill.control.storage.StateStore.Outcome;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.Phase;
import org.springmill.transport.HttpHandler.Call;
import org.springmill.transport.Loop;

/**
 * Cancels jobs for users. The write is conditional on the version of the job's record, so that of
 * done and cancelled the first stays; the user is answered only after the commit.
 */
final class WithdrawalHandler {
    private static final Logger LOG = LoggerFactory.getLogger(WithdrawalHandler.class);

    private final JobDirectory directory;
    private final StateStore store;
    private final Loop loop;
    private final Timing timing;
    private final JobAnswers answers;
    private final Consumer<Cancellation> announce;

    /**
     * @param announce told of each cancellation committed here, before its user is
     */
    WithdrawalHandler(
            JobDirectory directory,
            StateStore store,
            Loop loop,
            Timing timing,
            JobAnswers answers,
            Consumer<Cancellation> announce) {
        this.directory = directory;
        this.store = store;
        this.loop = loop;
        this.timing = timing;
        this.answers = answers;
        this.announce = announce;
    }

    /** Cancels a job that may be over already or may never have been submitted. */
    void withdraw(Call call, String id) {
        if (!Submission.validId(id)) {
            JobAnswers.notFound(call);
            return;
        }
        withdraw(call, id, loop.now() + JobAnswers.ANSWER_WITHIN_S);
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
                        directory.findMoved(id, lookup -> answerMoved(call, lookup));
                    } else {
                        JobAnswers.unavailable(call, JobAnswers.STATE_SERVICE_SILENT);
                    }
                });
    }

    /** A job that was moved is over: its cancellation, if it was cancelled, is known to all. */
    private static void answerMoved(Call call, Lookup lookup) {
        JobAnswers.lookedUp(
                call, lookup, job -> JobAnswers.phase(call, job), () -> JobAnswers.notFound(call));
    }

    private void cancel(Call call, JobRecord job, double answerBy) {
        if (job.phase().terminal()) {
            answerEnded(call, job);
            return;
        }
        JobRecord cancelled = job.ended(Phase.CANCELLED, loop.timeOfDay());
        store.commit(
                List.of(new Condition(job.key(), job.version())),
                List.of(Write.put(job.key(), cancelled.encode(store.limits().valueBytes()))),
                result -> {
                    if (result.outcome() == Outcome.COMMITTED) {
                        committed(call, cancelled.committed(result.revision()));
                    } else {
                        notCommitted(call, job.id(), answerBy, result);
                    }
                });
    }

    private void answerEnded(Call call, JobRecord job) {
        if (job.cancelled()) {
            // Perhaps by a write of this very request whose answer was lost: nobody has told the
            // others then.
            announce(job);
        }
        answers.phase(call, job);
    }

    private void committed(Call call, JobRecord cancelled) {
        directory.learn(cancelled);
        LOG.debug("{} cancelled", cancelled.id());
        announce(cancelled);
        answers.phase(call, cancelled);
    }

    private void announce(JobRecord cancelled) {
        announce.accept(new Cancellation(cancelled.id(), cancelled.version(), cancelled.endedAt()));
    }

    /**
     * Tries again while there is time. After a refusal the record has moved on; without an answer
     * the barrier tells whether the write was applied.
     */
    private void notCommitted(Call call, String id, double answerBy, CommitResult result) {
        boolean outage = result.outcome() == Outcome.NOT_NOW && !store.reachable();
        if (outage || loop.now() + timing.stateTimeoutS() > answerBy) {
            JobAnswers.unavailable(call, JobAnswers.STATE_SERVICE_SILENT);
            return;
        }
        loop.after(
                timing.pingS() / 4,
                () -> directory.barrier(current -> withdraw(call, id, answerBy)));
    }
}
