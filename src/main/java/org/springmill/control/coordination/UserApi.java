package org.springmill.control.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.Json;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.UserMessages.Phase;
import org.springmill.transport.HttpHandler.Call;
import org.springmill.transport.Loop;

/**
 * Submissions, polls and withdrawals, at any controller. Whatever cannot be taken is answered at
 * once.
 */
final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);

    /** Users wait 5 s for an answer; by then they have to have one. */
    private static final double ANSWER_WITHIN_S = 3.5;

    private static final byte[] EMPTY = new byte[0];

    private final JobDirectory directory;
    private final StateStore store;
    private final MachineTypeCatalog catalog;
    private final Loop loop;
    private final Timing timing;
    private final Function<String, JobProgress> progress;
    private final Consumer<Cancellation> announce;
    private final Metrics metrics;
    private final int maxPending;
    private int pending;

    /**
     * @param announce told of each cancellation committed here, before its user is
     */
    UserApi(
            JobDirectory directory,
            StateStore store,
            MachineTypeCatalog catalog,
            Loop loop,
            Timing timing,
            Function<String, JobProgress> progress,
            Consumer<Cancellation> announce,
            Metrics metrics,
            int maxPending) {
        this.announce = announce;
        this.directory = directory;
        this.store = store;
        this.catalog = catalog;
        this.loop = loop;
        this.timing = timing;
        this.progress = progress;
        this.metrics = metrics;
        this.maxPending = maxPending;
    }

    void handle(Call call) {
        String path = call.path();
        if (path.equals(UserMessages.SUBMISSIONS)) {
            if (allowed(call, "POST")) {
                submit(call);
            }
            return;
        }
        String rest = path.substring(UserMessages.SUBMISSIONS.length() + 1);
        if (rest.endsWith(UserMessages.WITHDRAW)) {
            if (allowed(call, "POST")) {
                withdraw(call, rest.substring(0, rest.length() - UserMessages.WITHDRAW.length()));
            }
        } else if (rest.isEmpty() || rest.contains("/")) {
            call.reply(404, EMPTY, 0);
        } else if (allowed(call, "GET")) {
            poll(call, rest);
        }
    }

    private static boolean allowed(Call call, String method) {
        if (!call.method().equals(method)) {
            call.reply(405, EMPTY, 0);
            return false;
        }
        return true;
    }

    private void submit(Call call) {
        Submission submission;
        try {
            JsonNode json = Json.object(call.body());
            submission = Submission.parse(json);
        } catch (BadMessageException e) {
            call.reply(400, UserMessages.error(e.getMessage()), 0);
            return;
        }
        JobRecord known = directory.get(submission.id());
        if (known != null) {
            answerKnown(call, known.id());
            return;
        }
        if (!catalog.known() || !directory.loaded()) {
            later(call, "not ready yet");
            return;
        }
        String impossible = catalog.impossible(submission);
        if (impossible != null) {
            call.reply(422, UserMessages.error(impossible), 0);
            return;
        }
        double since = loop.now();
        JobRecord job = JobRecord.accepted(submission, loop.timeOfDay());
        if (refusal(job) == null) {
            take(call, job, since);
            return;
        }
        lookAgain(call, job, since, null);
    }

    /**
     * What it names, or the job itself in a repeated submission, may just have been accepted by
     * another controller.
     *
     * @param ground on which it is refused otherwise; null for what is found then
     */
    private void lookAgain(Call call, JobRecord job, double since, String ground) {
        directory.barrier(
                ok -> {
                    String refusal = ground == null ? refusal(job) : ground;
                    if (directory.get(job.id()) != null) {
                        answerKnown(call, job.id());
                    } else if (!ok) {
                        later(call, "the state service does not answer");
                    } else if (refusal != null) {
                        call.reply(422, UserMessages.error(refusal), 0);
                    } else {
                        take(call, job, since);
                    }
                });
    }

    private String refusal(JobRecord job) {
        int bytes = job.mostBytes(loop.timeOfDay());
        if (bytes > store.limits().valueBytes()) {
            return "takes "
                    + bytes
                    + " bytes to store, more than "
                    + store.limits().valueBytes()
                    + ": names too many jobs or types";
        }
        return directory.dependencies().refusal(job.submission());
    }

    private void take(Call call, JobRecord job, double since) {
        if (pending >= maxPending || store.full()) {
            call.reply(429, UserMessages.error("too many submissions"), 1);
            return;
        }
        pending++;
        create(call, job, since);
    }

    private void create(Call call, JobRecord job, double since) {
        double until = since + ANSWER_WITHIN_S;
        Submission submission = job.submission();
        store.commit(
                List.of(new Condition(job.key(), 0)),
                List.of(Write.put(job.key(), job.encode())),
                result -> {
                    switch (result.outcome()) {
                        case COMMITTED -> {
                            pending--;
                            directory.learn(job.committed(result.revision()));
                            metrics.accepted(since);
                            LOG.debug(
                                    "{} accepted: {} of {} for {}",
                                    submission.id(),
                                    submission.tasks(),
                                    submission.jobClass(),
                                    submission.team());
                            // Cancelled already if it names a cancelled one.
                            call.reply(
                                    201,
                                    UserMessages.phase(job.id(), directory.get(job.id()).phase()),
                                    0);
                        }
                        case REFUSED -> {
                            pending--;
                            if (result.failed().isEmpty()) {
                                lookAgain(
                                        call, job, since, "the state service takes no such record");
                            } else {
                                answerKnown(call, submission.id());
                            }
                        }
                        case TOO_LARGE -> {
                            pending--;
                            lookAgain(call, job, since, null);
                        }
                        // Not executed, or unknown: the same write again. It is applied once at
                        // most.
                        case NOT_NOW, UNKNOWN -> {
                            boolean outage =
                                    result.outcome() == StateStore.Outcome.NOT_NOW
                                            && !store.reachable();
                            if (loop.now() + timing.stateTimeoutS() < until && !outage) {
                                loop.after(timing.pingS() / 4, () -> create(call, job, since));
                            } else {
                                pending--;
                                later(call, "the state service does not answer");
                            }
                        }
                    }
                });
    }

    /** Answers for a job that exists, with a state no older than the question. */
    private void answerKnown(Call call, String id) {
        current(
                id,
                job -> {
                    if (job == null) {
                        later(call, "the state service does not answer");
                    } else {
                        call.reply(200, UserMessages.phase(id, phase(job)), 0);
                    }
                });
    }

    /**
     * Passes a job as it stands after the question came in, or null if that cannot be known now.
     */
    private void current(String id, Consumer<JobRecord> done) {
        JobRecord known = directory.get(id);
        if (known != null && known.phase().terminal()) {
            done.accept(known);
        } else {
            directory.barrier(ok -> done.accept(ok ? directory.get(id) : null));
        }
    }

    private void poll(Call call, String id) {
        if (!Submission.validId(id)) {
            call.reply(404, UserMessages.error("no such job"), 0);
            return;
        }
        JobRecord known = directory.get(id);
        if (known != null && known.phase().terminal()) {
            answerPoll(call, known);
            return;
        }
        directory.barrier(
                ok -> {
                    JobRecord job = directory.get(id);
                    if (!ok) {
                        later(call, "the state service does not answer");
                    } else if (job == null) {
                        call.reply(404, UserMessages.error("no such job"), 0);
                    } else {
                        answerPoll(call, job);
                    }
                });
    }

    private void answerPoll(Call call, JobRecord job) {
        JobProgress known = progress.apply(job.id());
        int done = known == null ? 0 : known.done();
        int running = known == null ? 0 : known.running();
        switch (job.phase()) {
            case DONE ->
                    call.reply(
                            200,
                            UserMessages.progress(
                                    job.id(), Phase.DONE, job.submission().tasks(), 0),
                            0);
            case CANCELLED ->
                    call.reply(200, UserMessages.progress(job.id(), Phase.CANCELLED, done, 0), 0);
            default ->
                    call.reply(200, UserMessages.progress(job.id(), phase(job), done, running), 0);
        }
    }

    private Phase phase(JobRecord job) {
        if (job.phase().terminal()) {
            return job.phase();
        }
        JobProgress known = progress.apply(job.id());
        return known != null && known.running() > 0 ? Phase.RUNNING : Phase.QUEUED;
    }

    private void withdraw(Call call, String id) {
        if (!Submission.validId(id)) {
            call.reply(404, UserMessages.error("no such job"), 0);
            return;
        }
        withdraw(call, id, loop.now() + ANSWER_WITHIN_S);
    }

    private void withdraw(Call call, String id, double until) {
        JobRecord known = directory.get(id);
        if (known != null) {
            cancel(call, known, until);
            return;
        }
        directory.barrier(
                ok -> {
                    JobRecord job = directory.get(id);
                    if (job != null) {
                        cancel(call, job, until);
                    } else if (ok) {
                        call.reply(404, UserMessages.error("no such job"), 0);
                    } else {
                        later(call, "the state service does not answer");
                    }
                });
    }

    /**
     * The write is conditional on the record's version, so that of done and cancelled the first
     * stays.
     */
    private void cancel(Call call, JobRecord job, double until) {
        if (job.phase().terminal()) {
            if (job.cancelled()) {
                // Perhaps by a write of this very request whose answer was lost: nobody has told
                // the others then.
                announce.accept(new Cancellation(job.id(), job.version(), job.endedAt()));
            }
            call.reply(200, UserMessages.phase(job.id(), job.phase()), 0);
            return;
        }
        JobRecord cancelled = job.ended(Phase.CANCELLED, loop.timeOfDay());
        store.commit(
                List.of(new Condition(job.key(), job.version())),
                List.of(Write.put(job.key(), cancelled.encode(store.limits().valueBytes()))),
                result -> {
                    if (result.outcome() == StateStore.Outcome.COMMITTED) {
                        directory.learn(cancelled.committed(result.revision()));
                        LOG.debug("{} cancelled", job.id());
                        announce.accept(
                                new Cancellation(job.id(), result.revision(), cancelled.endedAt()));
                        call.reply(200, UserMessages.phase(job.id(), Phase.CANCELLED), 0);
                    } else if (loop.now() + timing.stateTimeoutS() > until
                            || (result.outcome() == StateStore.Outcome.NOT_NOW
                                    && !store.reachable())) {
                        later(call, "the state service does not answer");
                    } else {
                        // Refused: the record has moved on. No answer: the barrier tells whether it
                        // was applied.
                        loop.after(
                                timing.pingS() / 4,
                                () -> directory.barrier(ok -> withdraw(call, job.id(), until)));
                    }
                });
    }

    private static void later(Call call, String why) {
        call.reply(503, UserMessages.error(why), 1);
    }
}
