package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Checks each answer to a user against the earlier requests and answers. */
final class AnswerChecker {
    private static final String SUBMISSIONS = "/submissions";

    private final VirtualClock clock;
    private final JobHistories jobs;
    private final SubmissionRules submissions;
    private final Violations violations;

    AnswerChecker(
            VirtualClock clock,
            JobHistories jobs,
            SubmissionRules submissions,
            Violations violations) {
        this.clock = clock;
        this.jobs = jobs;
        this.submissions = submissions;
        this.violations = violations;
    }

    /** Records a request that a user is about to send. */
    void requested(Request request) {
        if (request.path().equals(SUBMISSIONS)) {
            JsonNode job = jobIn(request);
            if (job != null && job.path("nameId").isTextual()) {
                jobs.submitted(job);
            }
        } else if (request.path().endsWith("/withdraw")) {
            JobHistory job = jobs.find(idIn(request.path()));
            if (job != null) {
                job.requestCancellation();
            }
        }
    }

    /** Checks the answer to a request that a user sent at {@code sentAt}. */
    void answered(Request request, double sentAt, Reply reply) {
        if (request.path().equals(SUBMISSIONS)) {
            submissionAnswered(request, sentAt, reply);
        } else if (request.path().startsWith(SUBMISSIONS + "/")) {
            questionAnswered(request, sentAt, reply);
        }
    }

    private void submissionAnswered(Request request, double sentAt, Reply reply) {
        JsonNode submitted = jobIn(request);
        JobHistory job = submitted == null ? null : jobs.find(submitted.path("nameId").asText());
        if (job == null) {
            checkNotInvented(request, reply);
            return;
        }
        boolean refused = reply.status() == 400 || reply.status() == 422;
        boolean repeated = submitted.equals(job.job());
        if (job.acceptedBy(sentAt) && (reply.status() == 404 || (refused && repeated))) {
            violations.add(Rule.FORGOTTEN, job.id() + " answered " + reply.status());
        }
        if (isPositive(reply)) {
            if (!job.accepted()) {
                checkAcceptable(submitted);
            }
            positiveAnswer(job, sentAt, reply);
        }
    }

    private void questionAnswered(Request request, double sentAt, Reply reply) {
        JobHistory job = jobs.find(idIn(request.path()));
        if (job == null) {
            checkNotInvented(request, reply);
            return;
        }
        if (job.acceptedBy(sentAt) && reply.status() == 404) {
            violations.add(Rule.FORGOTTEN, job.id() + " answered " + reply.status());
        }
        if (isPositive(reply)) {
            positiveAnswer(job, sentAt, reply);
        }
    }

    private void checkNotInvented(Request request, Reply reply) {
        if (isPositive(reply)) {
            violations.add(Rule.INVENTED, request.path());
        }
    }

    private void checkAcceptable(JsonNode job) {
        String reason = submissions.rejectionReason(job);
        if (reason != null) {
            violations.add(Rule.ACCEPTED, job.path("nameId").asText() + ": " + reason);
        }
    }

    /**
     * Records and checks an answer with status 200 or 201. The first such answer to any request
     * shows that the job is accepted.
     */
    private void positiveAnswer(JobHistory job, double sentAt, Reply reply) {
        job.answered(clock.now());
        if (!job.accepted()) {
            job.accept(clock.now());
        }
        checkPhase(job, SimKeyValueStore.parse(reply.body()).path("phase").asText(), sentAt);
    }

    private void checkPhase(JobHistory job, String phase, double sentAt) {
        boolean over = phase.equals("done") || phase.equals("cancelled");
        if (phase.equals("done")) {
            checkAllTasksDone(job);
        }
        if (phase.equals("cancelled") && !jobs.cancelRequested(job)) {
            violations.add(Rule.WENT_BACK, job.id() + " is cancelled, but nobody requested it");
        }
        // Answers may arrive out of order, so a phase that is not final is a violation only if the
        // request was sent after a final phase had been answered.
        boolean differs = job.over() && !phase.equals(job.finalPhase());
        if (differs && (over || job.overBy(sentAt))) {
            violations.add(Rule.WENT_BACK, job.id() + " from " + job.finalPhase() + " to " + phase);
        }
        if (!over && jobs.dependencyCancelledBy(sentAt - SimSettings.CANCEL_SECONDS, job)) {
            violations.add(
                    Rule.ORPHANED, job.id() + " is " + phase + ", but a dependency is cancelled");
        }
        if (over && !job.over()) {
            job.end(phase, clock.now());
        }
    }

    private void checkAllTasksDone(JobHistory job) {
        for (int i = 0; i < job.taskCount(); i++) {
            if (!jobs.isTaskDone(job.taskId(i))) {
                violations.add(Rule.NOT_DONE, job.taskId(i));
            }
        }
    }

    private static boolean isPositive(Reply reply) {
        return reply.status() == 200 || reply.status() == 201;
    }

    /** The JSON object in a submission; null if there is none. */
    private static JsonNode jobIn(Request request) {
        try {
            JsonNode job = SimKeyValueStore.parse(request.body());
            return job.isObject() ? job : null;
        } catch (IllegalStateException e) {
            return null;
        }
    }

    private static String idIn(String path) {
        String[] parts = path.split("/");
        return parts.length > 2 ? parts[2] : "";
    }
}
