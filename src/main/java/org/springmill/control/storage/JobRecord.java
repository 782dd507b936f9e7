package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;

/**
 * A job in the key-value store, under {@code job/<id>}: the submission as accepted, and how it
 * ended once it has. The submission stays, for a later leader has to count what an ended job's
 * tasks still hold.
 *
 * <p>A job with a deadline or with dependencies holds the time at which it was accepted, from which
 * the deadline counts; dependencies are stored only where there are any. Every other record has the
 * form that was there before both, byte by byte. Versions that know neither field ignore them, so
 * all versions read each other's records during an upgrade.
 *
 * @param phase QUEUED while active: whether tasks run is not stored
 * @param endedAt time of day at which its end was asked for; 0 if active or not known
 * @param acceptedAt time of day at which it was accepted; 0 if not known
 */
public record JobRecord(
        String id,
        Submission submission,
        JobPhase phase,
        long version,
        double endedAt,
        double acceptedAt) {
    public static final String PREFIX = "job/";

    public static String key(String id) {
        return PREFIX + id;
    }

    /** A job that is being accepted; it has no version before it is committed. */
    public static JobRecord accepted(Submission submission, double now) {
        boolean timed =
                submission.deadlineSeconds() != null || !submission.dependencies().isEmpty();
        return new JobRecord(submission.id(), submission, JobPhase.QUEUED, 0, 0, timed ? now : 0);
    }

    public JobRecord ended(JobPhase end, double at) {
        return new JobRecord(id, submission, end, version, at, acceptedAt);
    }

    public JobRecord committed(long revision) {
        return new JobRecord(id, submission, phase, revision, endedAt, acceptedAt);
    }

    public String key() {
        return key(id);
    }

    public boolean active() {
        return !phase.terminal();
    }

    public boolean cancelled() {
        return phase == JobPhase.CANCELLED;
    }

    /**
     * What the record takes in the key-value store once it has ended, which is when it is largest.
     */
    public int mostBytes(double now) {
        return Json.bytes(ended(JobPhase.CANCELLED, now).encode()).length;
    }

    public JsonNode encode() {
        ObjectNode json = Json.newObject();
        json.put("v", 1);
        if (phase.terminal()) {
            json.put("end", phase == JobPhase.DONE ? "done" : "cancelled").put("at", endedAt);
        }
        if (acceptedAt > 0) {
            json.put("accepted", acceptedAt);
        }
        json.set("job", submission.toJson());
        return json;
    }

    /**
     * The same within so many bytes. A job accepted when values could be larger must still be able
     * to end: its types, the only list that can be long in a record of that time, are not needed
     * after the end.
     */
    public JsonNode encode(int valueBytes) {
        JsonNode whole = encode();
        if (active() || submission.types() == null || Json.bytes(whole).length <= valueBytes) {
            return whole;
        }
        return new JobRecord(id, submission.withoutTypes(), phase, version, endedAt, acceptedAt)
                .encode();
    }

    public static JobRecord decode(String key, JsonNode value, long version)
            throws MalformedMessageException {
        JobPhase phase =
                switch (value.path("end").asText()) {
                    case "" -> JobPhase.QUEUED;
                    case "done" -> JobPhase.DONE;
                    default -> JobPhase.CANCELLED;
                };
        return new JobRecord(
                key.substring(PREFIX.length()),
                Submission.parse(value.path("job")),
                phase,
                version,
                value.path("at").asDouble(),
                value.path("accepted").asDouble());
    }
}
