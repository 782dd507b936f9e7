package org.springmill.control.coordination;

import org.springmill.control.history.EndedJobs.Lookup;
import org.springmill.control.storage.EndedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Submission;
import org.springmill.transport.HttpHandler.Call;

/**
 * Answers users who ask how a job stands. An end is final and is told at once; anything else only
 * after a barrier, since it could be outdated.
 */
final class JobQueryHandler {
    private final JobDirectory directory;
    private final JobAnswers answers;

    JobQueryHandler(JobDirectory directory, JobAnswers answers) {
        this.directory = directory;
        this.answers = answers;
    }

    /** Answers a question about a job that may never have been submitted. */
    void query(Call call, String id) {
        if (!Submission.validId(id)) {
            JobAnswers.notFound(call);
            return;
        }
        JobRecord known = directory.get(id);
        EndedJob moved = directory.moved(id);
        if (known != null && known.phase().terminal()) {
            answers.progress(call, known);
        } else if (known == null && moved != null) {
            JobAnswers.progress(call, moved);
        } else {
            directory.barrier(current -> answer(call, id, current));
        }
    }

    private void answer(Call call, String id, boolean current) {
        JobRecord job = directory.get(id);
        if (!current) {
            JobAnswers.unavailable(call, JobAnswers.STATE_SERVICE_SILENT);
        } else if (job == null) {
            directory.findMoved(id, lookup -> answerMoved(call, lookup));
        } else if (directory.certain(job)) {
            answers.progress(call, job);
        } else {
            JobAnswers.unavailable(call, JobAnswers.DEPENDENCY_BEING_READ);
        }
    }

    private static void answerMoved(Call call, Lookup lookup) {
        JobAnswers.lookedUp(
                call,
                lookup,
                job -> JobAnswers.progress(call, job),
                () -> JobAnswers.notFound(call));
    }
}
