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

/** The answers that users get about a job, from its record and the progress of its tasks. */
public final class JobStatusResponses {
    /** Users wait 5 s for an answer; by then they have to have one. */
    public static final double ANSWER_WITHIN_SECONDS = 3.5;

    public static final String DEPENDENCY_BEING_READ =
            "the end of a job that it needs is being read";

    public static final String STATE_SERVICE_SILENT = "the state service does not answer";

    private static final int RETRY_AFTER_SECONDS = 1;

    private final Function<String, JobProgress> progress;

    /**
     * @param progress of an active job by its id, as far as it is known here; null if it is not
     */
    public JobStatusResponses(Function<String, JobProgress> progress) {
        this.progress = progress;
    }

    /** Answers 200 with the phase that a job is in. */
    public void phase(Call call, JobRecord job) {
        call.reply(200, UserMessages.phase(job.id(), phaseOf(job)), 0);
    }

    /** Answers 200 with the phase that a job is in and how many of its tasks are done and run. */
    public void progress(Call call, JobRecord job) {
        JobProgress known = progress.apply(job.id());
        int done = known == null ? 0 : known.done();
        int running = known == null ? 0 : known.running();
        if (job.phase() == JobPhase.DONE) {
            done = job.submission().tasks();
        }
        if (job.phase().terminal()) {
            running = 0;
        }
        call.reply(200, UserMessages.progress(job.id(), phaseOf(job), done, running), 0);
    }

    /** Answers 200 with the final phase of a job whose record has been moved to the history. */
    public static void phase(Call call, ArchivedJob job) {
        call.reply(200, UserMessages.phase(job.id(), job.phase()), 0);
    }

    /** Answers 200 with the final phase and counts of a job whose record has been moved. */
    public static void progress(Call call, ArchivedJob job) {
        int done = job.cancelled() ? 0 : job.tasks();
        call.reply(200, UserMessages.progress(job.id(), job.phase(), done, 0), 0);
    }

    private JobPhase phaseOf(JobRecord job) {
        if (job.phase().terminal()) {
            return job.phase();
        }
        JobProgress known = progress.apply(job.id());
        return known != null && known.running() > 0 ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /** Answers from a lookup of a moved job; 503 if that was not served. */
    public static void lookedUp(
            Call call, Lookup lookup, Consumer<ArchivedJob> found, Runnable absent) {
        switch (lookup.outcome()) {
            case FOUND -> found.accept(lookup.job());
            case ABSENT -> absent.run();
            case UNAVAILABLE -> unavailable(call, STATE_SERVICE_SILENT);
        }
    }

    /** Answers 404: the job was never accepted. */
    public static void notFound(Call call) {
        call.reply(404, UserMessages.error("no such job"), 0);
    }

    /** Answers 503: what was asked for cannot be decided now. */
    public static void unavailable(Call call, String reason) {
        call.reply(503, UserMessages.error(reason), RETRY_AFTER_SECONDS);
    }

    /** Answers 422: the job can never run. */
    public static void impossible(Call call, String reason) {
        call.reply(422, UserMessages.error(reason), 0);
    }

    /** Answers 503 with when to come back: the job cannot be taken now. */
    public static void refused(Call call, AdmissionRefusal refusal) {
        byte[] answer = UserMessages.error(refusal.reason().text());
        call.reply(503, answer, refusal.retryAfterSeconds());
    }
}
