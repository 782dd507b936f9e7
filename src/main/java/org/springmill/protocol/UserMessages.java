package org.springmill.protocol;

import java.util.Locale;

/** Paths and response bodies of the user API. */
public final class UserMessages {
    /** Path of submissions; a job's own path is this one, a slash and its id. */
    public static final String SUBMISSIONS_PATH = "/submissions";

    /** Suffix of a job's path, to which its cancellation is posted. */
    public static final String CANCELLATION_SUFFIX = "/withdraw";

    /** Path on which the load balancer probes a controller. */
    public static final String READINESS_PATH = "/ready";

    private UserMessages() {}

    /** Phase of a job, as its user sees it. */
    public enum JobPhase {
        /** No task runs. */
        QUEUED,
        /** At least one task runs. */
        RUNNING,
        /** All tasks are done. */
        DONE,
        /** Its user has cancelled it. */
        CANCELLED;

        /** Whether a job in this phase stays in it. */
        public boolean isTerminal() {
            return this == DONE || this == CANCELLED;
        }

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Encodes the response to an accepted submission or cancellation. */
    public static byte[] encodePhase(String id, JobPhase phase) {
        return Json.write(
                json -> {
                    json.writeStringField(WireFields.JOB_ID, id);
                    json.writeStringField(WireFields.PHASE, phase.wireName());
                });
    }

    /**
     * Encodes the response to a status query.
     *
     * @param done number of tasks that are done
     * @param running number of tasks that run
     */
    public static byte[] encodeProgress(String id, JobPhase phase, int done, int running) {
        return Json.write(
                json -> {
                    json.writeStringField(WireFields.JOB_ID, id);
                    json.writeStringField(WireFields.PHASE, phase.wireName());
                    json.writeNumberField(WireFields.DONE_TASKS, done);
                    json.writeNumberField(WireFields.RUNNING_TASKS, running);
                });
    }

    /** Encodes the reason of a refusal. */
    public static byte[] encodeError(String message) {
        return Json.write(json -> json.writeStringField(WireFields.ERROR, message));
    }
}
