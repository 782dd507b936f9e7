package org.springmill.control.api;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.ActiveJobs;
import org.springmill.control.admission.AdmissionControl;
import org.springmill.control.admission.AdmissionRefusal;
import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/**
 * Accepts jobs. A job is accepted by creating its record on condition that there is none, and its
 * user is answered only after the commit. Whatever cannot be accepted is answered at once.
 */
public final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

    private final JobDirectory directory;
    private final KeyValueStoreClient store;
    private final MachineTypeCatalog catalog;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final JobStatusResponses responses;
    private final Metrics metrics;
    private final AdmissionControl admission;
    private final ActiveJobs activeJobs;
    private final int maxUncommitted;

    /** Submissions whose records are on their way to the key-value store, the oldest first. */
    private final Set<PendingSubmission> uncommitted = new LinkedHashSet<>();

    /**
     * A submission on its way.
     *
     * @param job the record to be created
     * @param since when it came in
     */
    private record PendingSubmission(Call call, JobRecord job, double since) {}

    /**
     * @param activeJobs the account of jobs that are accepted and not over
     * @param maxPending submissions whose records may be on their way to the key-value store at a
     *     time
     */
    public SubmissionHandler(
            JobDirectory directory,
            KeyValueStoreClient store,
            MachineTypeCatalog catalog,
            EventLoop loop,
            Timeouts timeouts,
            JobStatusResponses responses,
            Metrics metrics,
            AdmissionControl admission,
            ActiveJobs activeJobs,
            int maxPending) {
        this.directory = directory;
        this.store = store;
        this.catalog = catalog;
        this.loop = loop;
        this.timeouts = timeouts;
        this.responses = responses;
        this.metrics = metrics;
        this.admission = admission;
        this.activeJobs = activeJobs;
        this.maxUncommitted = maxPending;
    }

    /** Accepts the job that a request describes, or says why not. */
    void submit(Call call) {
        try {
            submit(call, Submission.parse(Json.object(call.body())));
        } catch (MalformedMessageException e) {
            call.reply(400, UserMessages.error(e.getMessage()), 0);
        }
    }

    private void submit(Call call, Submission submission) {
        if (!unknown(submission.id())) {
            respondExisting(call, submission.id());
            return;
        }
        if (!catalog.known() || !directory.loaded()) {
            JobStatusResponses.unavailable(call, "not ready yet");
            return;
        }
        JobRecord job = JobRecord.accepted(submission, loop.timeOfDay());
        PendingSubmission submitted = new PendingSubmission(call, job, loop.now());
        String impossible = catalog.impossible(submission);
        if (impossible != null) {
            // It may have been accepted long ago, under other limits or machine types.
            refuseAfterBarrier(submitted, impossible(impossible));
        } else if (refusal(job) == null) {
            accept(submitted);
        } else {
            decideAfterBarrier(submitted);
        }
    }

    /** Why a job cannot be accepted, as far as is known here; null if it can. */
    private String refusal(JobRecord job) {
        int bytes = job.mostBytes(loop.timeOfDay());
        int mostBytes = store.limits().valueBytes();
        if (bytes > mostBytes) {
            return "takes "
                    + bytes
                    + " bytes to store, more than "
                    + mostBytes
                    + ": names too many jobs or types";
        }
        return directory.dependencies().refusal(job.submission());
    }

    /**
     * Decides again once all earlier changes are known: what the job names, or the job itself in a
     * repeated submission, may just have been accepted by another controller.
     */
    private void decideAfterBarrier(PendingSubmission submitted) {
        directory.barrier(current -> findArchivedDependencies(submitted, current));
    }

    /** What the job names may have ended so long ago that its record has been moved. */
    private void findArchivedDependencies(PendingSubmission submitted, boolean current) {
        List<String> unknown = directory.dependencies().unknown(submitted.job().submission());
        if (current && unknown(submitted)) {
            double until =
                    submitted.since()
                            + JobStatusResponses.ANSWER_WITHIN_SECONDS
                            - timeouts.storeRequestTimeoutSeconds();
            directory.findAllArchived(unknown, until, read -> decide(submitted, read));
        } else {
            decide(submitted, current);
        }
    }

    private void decide(PendingSubmission submitted, boolean current) {
        String refusal = refusal(submitted.job());
        if (refusal == null && current && unknown(submitted)) {
            accept(submitted);
        } else {
            refuse(submitted, current, impossible(refusal));
        }
    }

    /** How the users of jobs that can never run, or not be taken now, are told so. */
    @FunctionalInterface
    private interface RefusalResponse {
        void respond(Call call);

        /** The same while it is not certain that the job was not accepted before. */
        default void respondUncertain(Call call) {
            JobStatusResponses.unavailable(call, JobStatusResponses.STATE_SERVICE_SILENT);
        }
    }

    /**
     * For a job that cannot be taken now. In an overload there are more to be looked up than
     * lookups are allowed; sent away for a second only, their users came back as a wave.
     */
    private record OverloadRefusal(AdmissionRefusal refusal) implements RefusalResponse {
        @Override
        public void respond(Call call) {
            JobStatusResponses.refused(call, refusal);
        }

        @Override
        public void respondUncertain(Call call) {
            respond(call);
        }
    }

    private static RefusalResponse impossible(String reason) {
        return call -> JobStatusResponses.impossible(call, reason);
    }

    /** Refuses a job, unless it turns out to have been accepted before. */
    private void refuseAfterBarrier(PendingSubmission submitted, RefusalResponse response) {
        directory.barrier(current -> refuse(submitted, current, response));
    }

    private void refuse(PendingSubmission submitted, boolean current, RefusalResponse response) {
        if (!unknown(submitted)) {
            respondExisting(submitted.call(), submitted.job().id());
        } else if (!current) {
            response.respondUncertain(submitted.call());
        } else {
            String id = submitted.job().id();
            directory.findArchived(id, lookup -> refuse(submitted.call(), lookup, response));
        }
    }

    /** A repeated submission of an accepted job is never refused, however long ago it ended. */
    private static void refuse(Call call, Lookup lookup, RefusalResponse response) {
        switch (lookup.outcome()) {
            case FOUND -> JobStatusResponses.phase(call, lookup.job());
            case ABSENT -> response.respond(call);
            case UNAVAILABLE -> response.respondUncertain(call);
        }
    }

    private boolean unknown(PendingSubmission submitted) {
        return unknown(submitted.job().id());
    }

    private boolean unknown(String id) {
        return directory.get(id) == null && directory.archived(id) == null;
    }

    private void accept(PendingSubmission submitted) {
        if (admission.nearBound(submitted.job().submission())) {
            // What other controllers have accepted meanwhile may have used up what is left.
            directory.barrier(current -> acceptNearBound(submitted, current));
        } else {
            admit(submitted);
        }
    }

    private void acceptNearBound(PendingSubmission submitted, boolean current) {
        if (!current) {
            JobStatusResponses.unavailable(
                    submitted.call(), JobStatusResponses.STATE_SERVICE_SILENT);
        } else if (unknown(submitted)) {
            admit(submitted);
        } else {
            respondExisting(submitted.call(), submitted.job().id());
        }
    }

    private void admit(PendingSubmission submitted) {
        Submission submission = submitted.job().submission();
        Optional<AdmissionRefusal> refusal = admission.refusal(submission, expectedWaitSeconds());
        if (refusal.isPresent()) {
            // A repeated submission is no new work, and its user may be the one whose first answer
            // was lost.
            refuseAfterBarrier(submitted, new OverloadRefusal(refusal.get()));
            return;
        }
        uncommitted.add(submitted);
        activeJobs.add(submission);
        commit(submitted);
    }

    /**
     * How long one more record would wait for the key-value store: by this controller's share of
     * its limits, and at least as long as the oldest that is on its way has waited.
     */
    private double expectedWaitSeconds() {
        if (uncommitted.size() >= maxUncommitted) {
            return Double.POSITIVE_INFINITY;
        }
        double byShare = store.expectedWaitSeconds(1);
        return uncommitted.isEmpty() ? byShare : Math.max(byShare, secondsSinceOldest());
    }

    private double secondsSinceOldest() {
        return loop.now() - uncommitted.iterator().next().since();
    }

    private void commit(PendingSubmission submitted) {
        JobRecord job = submitted.job();
        // A job whose record has been moved was accepted before, and has ended.
        store.compareAndSwapAcceptance(
                List.of(new Condition(job.key(), 0), new Condition(ArchivedJob.key(job.id()), 0)),
                List.of(Write.put(job.key(), job.encode())),
                submitted.since()
                        + JobStatusResponses.ANSWER_WITHIN_SECONDS
                        - timeouts.storeRequestTimeoutSeconds(),
                result -> commitAnswered(submitted, result));
    }

    private void commitAnswered(PendingSubmission submitted, CommitResult result) {
        if (mayRetry(submitted, result)) {
            loop.after(timeouts.peerPollIntervalSeconds() / 4, () -> commit(submitted));
            return;
        }
        uncommitted.remove(submitted);
        if (result.outcome() != CommitOutcome.COMMITTED && unknown(submitted)) {
            activeJobs.dropped(submitted.job().id());
        }
        switch (result.outcome()) {
            case COMMITTED -> commitSucceeded(submitted, result.revision());
            case REJECTED -> commitRejected(submitted, result);
            case TOO_LARGE -> decideAfterBarrier(submitted);
            case RETRYABLE -> commitAbandoned(submitted);
            case UNKNOWN ->
                    JobStatusResponses.unavailable(
                            submitted.call(), JobStatusResponses.STATE_SERVICE_SILENT);
        }
    }

    /** Its turn did not come in time, or the key-value store serves nothing. */
    private void commitAbandoned(PendingSubmission submitted) {
        if (store.reachable()) {
            AdmissionRefusal refusal = admission.givenUp(expectedWaitSeconds());
            JobStatusResponses.refused(submitted.call(), refusal);
        } else {
            JobStatusResponses.unavailable(
                    submitted.call(), JobStatusResponses.STATE_SERVICE_SILENT);
        }
    }

    /**
     * Whether the same write is to be sent again: it was not executed, or may have been. It is
     * applied once at most.
     */
    private boolean mayRetry(PendingSubmission submitted, CommitResult result) {
        boolean outage = result.outcome() == CommitOutcome.RETRYABLE && !store.reachable();
        boolean undecided =
                result.outcome() == CommitOutcome.RETRYABLE
                        || result.outcome() == CommitOutcome.UNKNOWN;
        double answerBy = submitted.since() + JobStatusResponses.ANSWER_WITHIN_SECONDS;
        return undecided
                && !outage
                && loop.now() + timeouts.storeRequestTimeoutSeconds() < answerBy;
    }

    private void commitSucceeded(PendingSubmission submitted, long revision) {
        JobRecord job = submitted.job().committed(revision);
        directory.learn(job);
        metrics.accepted(submitted.since());
        LOG.debug(
                "{} accepted: {} of {} for {}",
                job.id(),
                job.submission().tasks(),
                job.submission().jobClass(),
                job.submission().team());
        // Cancelled already if it names a cancelled one.
        JobRecord inEffect = directory.get(job.id());
        if (inEffect == null || !directory.isStatusCertain(inEffect)) {
            respondExisting(submitted.call(), job.id());
            return;
        }
        byte[] answer = UserMessages.phase(job.id(), inEffect.phase());
        submitted.call().reply(201, answer, 0);
    }

    private void commitRejected(PendingSubmission submitted, CommitResult result) {
        if (result.failed().isEmpty()) {
            refuseAfterBarrier(submitted, impossible("the state service takes no such record"));
        } else {
            respondExisting(submitted.call(), submitted.job().id());
        }
    }

    /** Answers for a job that exists, with a state no older than the question. */
    private void respondExisting(Call call, String id) {
        JobRecord known = directory.get(id);
        ArchivedJob moved = directory.archived(id);
        if (known != null && known.phase().terminal()) {
            responses.phase(call, known);
        } else if (known == null && moved != null) {
            JobStatusResponses.phase(call, moved);
        } else {
            directory.barrier(current -> respondExisting(call, id, current));
        }
    }

    private void respondExisting(Call call, String id, boolean current) {
        JobRecord job = directory.get(id);
        if (!current) {
            JobStatusResponses.unavailable(call, JobStatusResponses.STATE_SERVICE_SILENT);
        } else if (job == null) {
            directory.findArchived(id, lookup -> respondArchived(call, lookup));
        } else if (directory.isStatusCertain(job)) {
            responses.phase(call, job);
        } else {
            JobStatusResponses.unavailable(call, JobStatusResponses.DEPENDENCY_BEING_READ);
        }
    }

    private static void respondArchived(Call call, Lookup lookup) {
        JobStatusResponses.lookedUp(
                call,
                lookup,
                job -> JobStatusResponses.phase(call, job),
                () ->
                        JobStatusResponses.unavailable(
                                call, JobStatusResponses.STATE_SERVICE_SILENT));
    }
}
