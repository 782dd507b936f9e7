package org.springmill.protocol;

/** Paths and answers of the user API. */
public final class UserMessages {
    public static final String SUBMISSIONS = "/submissions";
    public static final String WITHDRAW = "/withdraw";
    public static final String READY = "/ready";

    private UserMessages() {}

    /** What a user is told of a job. */
    public enum JobPhase {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED;

        public boolean terminal() {
            return this == DONE || this == CANCELLED;
        }

        String wire() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    public static byte[] phase(String id, JobPhase phase) {
        return Json.write(
                json -> {
                    json.writeStringField("nameId", id);
                    json.writeStringField("phase", phase.wire());
                });
    }

    public static byte[] progress(String id, JobPhase phase, int done, int running) {
        return Json.write(
                json -> {
                    json.writeStringField("nameId", id);
                    json.writeStringField("phase", phase.wire());
                    json.writeNumberField("done", done);
                    json.writeNumberField("running", running);
                });
    }

    public static byte[] error(String message) {
        return Json.write(json -> json.writeStringField("error", message));
    }
}
