package org.springmill.control.jobs;

import java.util.function.Consumer;
import java.util.function.Function;
import org.springmill.control.admission.AdmissionRefusal;
import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.HttpHandler.Call;

/** The HTTP responses to users' requests about a job, based on its record and its task progress. */
public final class JobStatusResponses {
    /** Response deadline. Clients time out after 5 s; the difference is left for the network. */
    public static final double RESPONSE_DEADLINE_SECONDS = 3.5;

    /** Reason for a 503 while the final state of an archived dependency is being looked up. */
    public static final String DEPENDENCY_LOOKUP_PENDING =
            "the end of a job that it needs is being read";

    /** Reason for a 503 while the key-value store does not respond. */
    public static final String STORE_UNAVAILABLE = "the state service does not answer";

    /** Reason for a 503 while no controller is certain to stop the tasks of a cancelled job. */
    public static final String CANCELLATION_UNCERTAIN =
            "no controller can stop the tasks of the job now";

    private static final int RETRY_AFTER_SECONDS = 1;

    private final Function<String, JobProgress> progressLookup;
    private final CancellationGate cancellationGate;

    /**
     * Creates responses that use the progress known to this controller.
     *
     * @param progressLookup returns the progress of an active job by its id; null if not known
     * @param cancellationGate decides when users are told that a job is cancelled
     */
    public JobStatusResponses(
            Function<String, JobProgress> progressLookup, CancellationGate cancellationGate) {
        this.progressLookup = progressLookup;
        this.cancellationGate = cancellationGate;
    }

    /** Responds 200 with the phase of a job, or 503 if it is cancelled and may not be told yet. */
    public void respondPhase(Call call, JobRecord job) {
        whenCertain(
                call,
                job,
                () -> call.reply(200, UserMessages.encodePhase(job.id(), phaseOf(job)), 0));
    }

    /**
     * Responds 200 with the phase of a job and the numbers of done and running tasks, or 503 if it
     * is cancelled and may not be told yet.
     */
    public void respondProgress(Call call, JobRecord job) {
        whenCertain(call, job, () -> replyProgress(call, job));
    }

    private void whenCertain(Call call, JobRecord job, Runnable reply) {
        if (!job.cancelled()) {
            reply.run();
            return;
        }
        cancellationGate.await(
                job,
                certain -> {
                    if (certain) {
                        reply.run();
                    } else {
                        respondUnavailable(call, CANCELLATION_UNCERTAIN);
                    }
                });
    }

    private void replyProgress(Call call, JobRecord job) {
        JobProgress known = progressLookup.apply(job.id());
        int done = known == null ? 0 : known.done();
        int running = known == null ? 0 : known.running();
        if (job.phase() == JobPhase.DONE) {
            done = job.submission().tasks();
        }
        if (job.phase().isTerminal()) {
            running = 0;
        }
        call.reply(200, UserMessages.encodeProgress(job.id(), phaseOf(job), done, running), 0);
    }

    /** Responds 200 with the final phase of an archived job. */
    public static void respondPhase(Call call, ArchivedJob job) {
        call.reply(200, UserMessages.encodePhase(job.id(), job.phase()), 0);
    }

    /** Responds 200 with the final phase and task counts of an archived job. */
    public static void respondProgress(Call call, ArchivedJob job) {
        int done = job.cancelled() ? 0 : job.tasks();
        call.reply(200, UserMessages.encodeProgress(job.id(), job.phase(), done, 0), 0);
    }

    private JobPhase phaseOf(JobRecord job) {
        if (job.phase().isTerminal()) {
            return job.phase();
        }
        JobProgress known = progressLookup.apply(job.id());
        return known != null && known.running() > 0 ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /**
     * Responds according to the outcome of the lookup of an archived job.
     *
     * @param found called if the job was found
     * @param absent called if there is no such archived job
     */
    public static void respondLookup(
            Call call, Lookup lookup, Consumer<ArchivedJob> found, Runnable absent) {
        switch (lookup.outcome()) {
            case FOUND -> found.accept(lookup.job());
            case ABSENT -> absent.run();
            case UNAVAILABLE -> respondUnavailable(call, STORE_UNAVAILABLE);
        }
    }

    /** Responds 404: the job was never accepted. */
    public static void respondNotFound(Call call) {
        call.reply(404, UserMessages.encodeError("no such job"), 0);
    }

    /** Responds 503: the request cannot be answered now. */
    public static void respondUnavailable(Call call, String reason) {
        call.reply(503, UserMessages.encodeError(reason), RETRY_AFTER_SECONDS);
    }

    /** Responds 422: the job can never run. */
    public static void respondImpossible(Call call, String reason) {
        call.reply(422, UserMessages.encodeError(reason), 0);
    }

    /** Responds 503 with the seconds after which to retry: the job cannot be accepted now. */
    public static void respondRefused(Call call, AdmissionRefusal refusal) {
        byte[] body = UserMessages.encodeError(refusal.reason().text());
        call.reply(503, body, refusal.retryAfterSeconds());
    }
}
