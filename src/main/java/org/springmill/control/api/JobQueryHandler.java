package org.springmill.control.api;

import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Submission;
import org.springmill.transport.HttpHandler.Call;

/**
 * Answers users who ask how a job stands. An end is final and is told at once; anything else only
 * after a barrier, since it could be outdated.
 */
final class JobQueryHandler {
    private final JobDirectory directory;
    private final JobStatusResponses responses;

    JobQueryHandler(JobDirectory directory, JobStatusResponses responses) {
        this.directory = directory;
        this.responses = responses;
    }

    /** Answers a question about a job that may never have been submitted. */
    void query(Call call, String id) {
        if (!Submission.validId(id)) {
            JobStatusResponses.notFound(call);
            return;
        }
        JobRecord known = directory.get(id);
        ArchivedJob moved = directory.archived(id);
        if (known != null && known.phase().terminal()) {
            responses.progress(call, known);
        } else if (known == null && moved != null) {
            JobStatusResponses.progress(call, moved);
        } else {
            directory.barrier(current -> answer(call, id, current));
        }
    }

    private void answer(Call call, String id, boolean current) {
        JobRecord job = directory.get(id);
        if (!current) {
            JobStatusResponses.unavailable(call, JobStatusResponses.STATE_SERVICE_SILENT);
        } else if (job == null) {
            directory.findArchived(id, lookup -> respondArchived(call, lookup));
        } else if (directory.isStatusCertain(job)) {
            responses.progress(call, job);
        } else {
            JobStatusResponses.unavailable(call, JobStatusResponses.DEPENDENCY_BEING_READ);
        }
    }

    private static void respondArchived(Call call, Lookup lookup) {
        JobStatusResponses.lookedUp(
                call,
                lookup,
                job -> JobStatusResponses.progress(call, job),
                () -> JobStatusResponses.notFound(call));
    }
}
