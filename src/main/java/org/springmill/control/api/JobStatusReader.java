package org.springmill.control.api;

import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.transport.HttpHandler.Call;

/**
 * Reads a job status that is no older than the request. A final phase is returned immediately, any
 * other phase only after a read barrier, since it could be outdated.
 */
final class JobStatusReader {
    private final JobDirectory directory;

    /** Sends a status as the response to a call. */
    interface StatusResponder {
        /** Responds with the record of a job. */
        void respond(Call call, JobRecord job);

        /** Responds with the archived form of a job that ended long ago. */
        void respond(Call call, ArchivedJob job);

        /** Responds if there is neither a record nor an archived form. */
        void respondAbsent(Call call);
    }

    JobStatusReader(JobDirectory directory) {
        this.directory = directory;
    }

    /** Responds with the status of a job, or with 503 if the status is uncertain. */
    void respond(Call call, String id, StatusResponder responder) {
        JobRecord known = directory.get(id);
        ArchivedJob archived = directory.archived(id);
        if (known != null && known.phase().isTerminal()) {
            responder.respond(call, known);
        } else if (known == null && archived != null) {
            responder.respond(call, archived);
        } else {
            directory.readBarrier(current -> respondAfterBarrier(call, id, responder, current));
        }
    }

    private void respondAfterBarrier(
            Call call, String id, StatusResponder responder, boolean current) {
        JobRecord job = directory.get(id);
        if (!current) {
            JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
        } else if (job == null) {
            directory.lookUpArchived(id, lookup -> respondArchived(call, lookup, responder));
        } else if (directory.isStatusCertain(job)) {
            responder.respond(call, job);
        } else {
            JobStatusResponses.respondUnavailable(
                    call, JobStatusResponses.DEPENDENCY_LOOKUP_PENDING);
        }
    }

    private static void respondArchived(Call call, Lookup lookup, StatusResponder responder) {
        JobStatusResponses.respondLookup(
                call,
                lookup,
                archived -> responder.respond(call, archived),
                () -> responder.respondAbsent(call));
    }
}
