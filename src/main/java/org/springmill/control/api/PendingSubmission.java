package org.springmill.control.api;

import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.JobRecord;
import org.springmill.transport.HttpHandler.Call;

/**
 * A submission without a response so far.
 *
 * @param job the record to be created
 * @param arrivedAt time of its arrival in seconds
 */
record PendingSubmission(Call call, JobRecord job, double arrivedAt) {
    String id() {
        return job.id();
    }

    /** Deadline of the response to the user. */
    double responseDeadline() {
        return arrivedAt + JobStatusResponses.RESPONSE_DEADLINE_SECONDS;
    }
}
