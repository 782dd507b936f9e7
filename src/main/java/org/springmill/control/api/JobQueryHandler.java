package org.springmill.control.api;

import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Submission;
import org.springmill.transport.HttpHandler.Call;

/** Responds to users' queries for the status of a job, with the counts of its tasks. */
final class JobQueryHandler implements JobStatusReader.StatusResponder {
    private final JobStatusReader reader;
    private final JobStatusResponses responses;

    JobQueryHandler(JobStatusReader reader, JobStatusResponses responses) {
        this.reader = reader;
        this.responses = responses;
    }

    /** Responds to a query for a job that may never have been submitted. */
    void query(Call call, String id) {
        if (Submission.isValidId(id)) {
            reader.respond(call, id, this);
        } else {
            JobStatusResponses.respondNotFound(call);
        }
    }

    @Override
    public void respond(Call call, JobRecord job) {
        responses.respondProgress(call, job);
    }

    @Override
    public void respond(Call call, ArchivedJob job) {
        JobStatusResponses.respondProgress(call, job);
    }

    @Override
    public void respondAbsent(Call call) {
        JobStatusResponses.respondNotFound(call);
    }
}
