package org.springmill.control.api;

import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.JobRecord;
import org.springmill.transport.HttpHandler.Call;

/**
 * A submission that has not been answered yet.
 *
 * @param job the record to be created
 * @param since when it came in
 */
record PendingSubmission(Call call, JobRecord job, double since) {
    String id() {
        return job.id();
    }

    /** The time by which the user has to have an answer. */
    double answerBy() {
        return since + JobStatusResponses.RESPONSE_DEADLINE_SECONDS;
    }
}
