package org.springmill.control.api;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.ActiveJobs;
import org.springmill.control.admission.AdmissionControl;
import org.springmill.control.admission.AdmissionRefusal;
import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.history.ArchivedJobLookup.Outcome;
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
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/**
 * Accepts jobs. A job is accepted by creating its record on condition that none exists, and the
 * response is sent only after the commit. Jobs that cannot be accepted are refused without being
 * queued. A repeated submission of an accepted job is idempotent: the response is the job's phase,
 * never a refusal.
 */
public final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

    private final JobDirectory directory;
    private final KeyValueStoreClient store;
    private final MachineTypeCatalog catalog;
    private final EventLoop loop;
    private final Metrics metrics;
    private final AdmissionControl admission;
    private final ActiveJobs activeJobs;
    private final AcceptanceCommits commits;
    private final JobStatusReader reader;
    private final ExistingJobResponder existingJobResponder;

    /** Responds to the submission of a job that was accepted before, with the phase of the job. */
    private record ExistingJobResponder(JobStatusResponses responses)
            implements JobStatusReader.StatusResponder {
        @Override
        public void respond(Call call, JobRecord job) {
            responses.respondPhase(call, job);
        }

        @Override
        public void respond(Call call, ArchivedJob job) {
            JobStatusResponses.respondPhase(call, job);
        }

        @Override
        public void respondAbsent(Call call) {
            JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
        }
    }

    /**
     * Creates the handler of a controller.
     *
     * @param activeJobs the counts of accepted jobs that have not ended
     * @param maxUncommitted maximum number of records that are being written at a time
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
            int maxUncommitted) {
        this.directory = directory;
        this.store = store;
        this.catalog = catalog;
        this.loop = loop;
        this.metrics = metrics;
        this.admission = admission;
        this.activeJobs = activeJobs;
        commits = new AcceptanceCommits(store, loop, timeouts, maxUncommitted);
        reader = new JobStatusReader(directory);
        existingJobResponder = new ExistingJobResponder(responses);
    }

    /** Accepts the job that a request describes, or responds with the reason why not. */
    void submit(Call call) {
        try {
            submit(call, Submission.parse(Json.object(call.body())));
        } catch (MalformedMessageException e) {
            call.reply(400, UserMessages.encodeError(e.getMessage()), 0);
        }
    }

    private void submit(Call call, Submission submission) {
        if (!isUnknown(submission.id())) {
            respondExisting(call, submission.id());
            return;
        }
        if (!catalog.isKnown() || !directory.isLoaded()) {
            JobStatusResponses.respondUnavailable(call, "not ready yet");
            return;
        }
        JobRecord job = JobRecord.accepted(submission, loop.timeOfDay());
        PendingSubmission submitted = new PendingSubmission(call, job, loop.now());
        String impossible = catalog.impossibilityReason(submission);
        if (impossible != null) {
            // The job may have been accepted earlier, with other limits or machine types.
            refuseAfterBarrier(submitted, RefusalResponse.impossible(impossible));
        } else if (reasonForRefusal(job).isEmpty()) {
            accept(submitted);
        } else {
            decideAfterBarrier(submitted);
        }
    }

    /** Why a job cannot be accepted, as far as this controller knows; empty if it can. */
    private Optional<String> reasonForRefusal(JobRecord job) {
        int bytes = job.maxBytes(loop.timeOfDay());
        int maxBytes = store.limits().valueBytes();
        if (bytes > maxBytes) {
            return Optional.of(
                    "takes "
                            + bytes
                            + " bytes to store, more than "
                            + maxBytes
                            + ": names too many jobs or types");
        }
        return Optional.ofNullable(directory.dependencies().rejectionReason(job.submission()));
    }

    /**
     * Decides again after a read barrier: another controller may just have accepted the
     * dependencies of the job or, if the submission is repeated, the job itself.
     */
    private void decideAfterBarrier(PendingSubmission submitted) {
        directory.readBarrier(current -> findArchivedDependencies(submitted, current));
    }

    /** Looks up unknown dependencies, which may have ended so long ago that they are archived. */
    private void findArchivedDependencies(PendingSubmission submitted, boolean current) {
        List<String> unknown =
                directory.dependencies().unknownDependencies(submitted.job().submission());
        if (current && isUnknown(submitted.id())) {
            directory.lookUpAllArchived(
                    unknown, commits.sendBy(submitted), allRead -> decide(submitted, allRead));
        } else {
            decide(submitted, current);
        }
    }

    private void decide(PendingSubmission submitted, boolean current) {
        Optional<String> reason = reasonForRefusal(submitted.job());
        if (reason.isEmpty() && current && isUnknown(submitted.id())) {
            accept(submitted);
        } else {
            // Without a reason the job is known by now or that is uncertain: no reason is sent.
            refuse(submitted, current, RefusalResponse.impossible(reason.orElse("")));
        }
    }

    /** Refuses a job, unless it turns out to have been accepted before. */
    private void refuseAfterBarrier(PendingSubmission submitted, RefusalResponse response) {
        directory.readBarrier(current -> refuse(submitted, current, response));
    }

    private void refuse(PendingSubmission submitted, boolean current, RefusalResponse response) {
        if (!isUnknown(submitted.id())) {
            respondExisting(submitted.call(), submitted.id());
        } else if (!current) {
            response.respondUncertain(submitted.call());
        } else {
            directory.lookUpArchived(
                    submitted.id(), lookup -> refuse(submitted.call(), lookup, response));
        }
    }

    /** A repeated submission of an accepted job is never refused, however long ago it ended. */
    private static void refuse(Call call, Lookup lookup, RefusalResponse response) {
        if (lookup.outcome() == Outcome.UNAVAILABLE) {
            response.respondUncertain(call);
        } else {
            JobStatusResponses.respondLookup(
                    call,
                    lookup,
                    archived -> JobStatusResponses.respondPhase(call, archived),
                    () -> response.respond(call));
        }
    }

    private boolean isUnknown(String id) {
        return directory.get(id) == null && directory.archived(id) == null;
    }

    private void accept(PendingSubmission submitted) {
        if (admission.isNearMemoryBound(submitted.job().submission())) {
            // Jobs that other controllers have accepted meanwhile may have used up the memory.
            directory.readBarrier(current -> acceptNearBound(submitted, current));
        } else {
            admit(submitted);
        }
    }

    private void acceptNearBound(PendingSubmission submitted, boolean current) {
        if (!current) {
            JobStatusResponses.respondUnavailable(
                    submitted.call(), JobStatusResponses.STORE_UNAVAILABLE);
        } else if (isUnknown(submitted.id())) {
            admit(submitted);
        } else {
            respondExisting(submitted.call(), submitted.id());
        }
    }

    private void admit(PendingSubmission submitted) {
        Submission submission = submitted.job().submission();
        Optional<AdmissionRefusal> refusal =
                admission.refusal(submission, commits.expectedWaitSeconds());
        if (refusal.isPresent()) {
            // A repeated submission is not a new job, and the first response to its user may have
            // been lost.
            refuseAfterBarrier(submitted, new RefusalResponse.Overload(refusal.get()));
            return;
        }
        activeJobs.add(submission);
        commits.commit(submitted, result -> commitCompleted(submitted, result));
    }

    private void commitCompleted(PendingSubmission submitted, CommitResult result) {
        if (result.outcome() != CommitOutcome.COMMITTED && isUnknown(submitted.id())) {
            activeJobs.removeUnaccepted(submitted.id());
        }
        switch (result.outcome()) {
            case COMMITTED -> commitSucceeded(submitted, result.revision());
            case REJECTED -> commitRejected(submitted, result);
            case TOO_LARGE -> decideAfterBarrier(submitted);
            case RETRYABLE -> commitAbandoned(submitted);
            case UNKNOWN ->
                    JobStatusResponses.respondUnavailable(
                            submitted.call(), JobStatusResponses.STORE_UNAVAILABLE);
        }
    }

    private void commitSucceeded(PendingSubmission submitted, long revision) {
        JobRecord job = submitted.job().committed(revision);
        directory.merge(job);
        metrics.recordAcceptance(submitted.arrivedAt());
        LOG.debug(
                "{} accepted: {} tasks of class {} for team {}",
                job.id(),
                job.submission().tasks(),
                job.submission().jobClass(),
                job.submission().team());
        // The job is cancelled already if it depends on a cancelled one.
        JobRecord current = directory.get(job.id());
        if (current == null || !directory.isStatusCertain(current)) {
            respondExisting(submitted.call(), job.id());
            return;
        }
        byte[] body = UserMessages.encodePhase(job.id(), current.phase());
        submitted.call().reply(201, body, 0);
    }

    private void commitRejected(PendingSubmission submitted, CommitResult result) {
        if (result.failed().isEmpty()) {
            refuseAfterBarrier(
                    submitted,
                    RefusalResponse.impossible("the state service takes no such record"));
        } else {
            respondExisting(submitted.call(), submitted.id());
        }
    }

    /** The record was not sent in time, or the key-value store is unreachable. */
    private void commitAbandoned(PendingSubmission submitted) {
        if (store.isReachable()) {
            AdmissionRefusal refusal = admission.refuseExpired(commits.expectedWaitSeconds());
            JobStatusResponses.respondRefused(submitted.call(), refusal);
        } else {
            JobStatusResponses.respondUnavailable(
                    submitted.call(), JobStatusResponses.STORE_UNAVAILABLE);
        }
    }

    private void respondExisting(Call call, String id) {
        reader.respond(call, id, existingJobResponder);
    }
}
