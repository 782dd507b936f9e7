package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;

/**
 * A job in the key-value store, under {@code job/<id>}: the submission as accepted, and the job's
 * end once it has ended. The submission is kept after the end, since a later leader has to count
 * the resources that tasks of an ended job still use on machines.
 *
 * <p>The time of acceptance, from which the deadline counts, is stored only for jobs with a
 * deadline or with dependencies, and dependencies only if there are any. All other records have the
 * same bytes as before these fields were added. Versions that do not know the fields ignore them,
 * so all versions read each other's records during an upgrade.
 *
 * @param phase QUEUED while active: whether tasks run is not stored
 * @param version revision of the record in the key-value store; 0 before it is committed
 * @param endedAt time of day in seconds at which its end was requested; 0 if active or not known
 * @param acceptedAt time of day in seconds at which it was accepted; 0 if not known
 */
public record JobRecord(
        String id,
        Submission submission,
        JobPhase phase,
        long version,
        double endedAt,
        double acceptedAt) {
    /** Prefix of the keys of all job records. */
    public static final String PREFIX = "job/";

    private static final int FORMAT_VERSION = 1;
    private static final String VERSION_FIELD = "v";
    private static final String END_FIELD = "end";
    private static final String ENDED_AT_FIELD = "at";
    private static final String ACCEPTED_AT_FIELD = "accepted";
    private static final String SUBMISSION_FIELD = "job";
    private static final String DONE = "done";
    private static final String CANCELLED = "cancelled";

    /** The key of a job's record. */
    public static String key(String id) {
        return PREFIX + id;
    }

    /**
     * The record of a job that is being accepted; it has no version before it is committed.
     *
     * @param now time of day in seconds
     */
    public static JobRecord accepted(Submission submission, double now) {
        boolean hasDeadline = submission.deadlineSeconds() != null;
        boolean storesTime = hasDeadline || !submission.dependencies().isEmpty();
        double acceptedAt = storesTime ? now : 0;
        return new JobRecord(submission.id(), submission, JobPhase.QUEUED, 0, 0, acceptedAt);
    }

    /**
     * The same job after its end.
     *
     * @param end the terminal phase
     * @param at time of day in seconds at which the end was requested
     */
    public JobRecord ended(JobPhase end, double at) {
        return new JobRecord(id, submission, end, version, at, acceptedAt);
    }

    /** The same record as committed at a revision of the key-value store. */
    public JobRecord committed(long revision) {
        return new JobRecord(id, submission, phase, revision, endedAt, acceptedAt);
    }

    /** The key of this record. */
    public String key() {
        return key(id);
    }

    /** Whether the job has not ended. */
    public boolean active() {
        return !phase.isTerminal();
    }

    /** Whether the job ended by cancellation. */
    public boolean cancelled() {
        return phase == JobPhase.CANCELLED;
    }

    /**
     * Bytes that the record takes in the key-value store after the job's end, when it is largest.
     *
     * @param now time of day in seconds
     */
    public int maxBytes(double now) {
        return Json.bytes(ended(JobPhase.CANCELLED, now).encode()).length;
    }

    /** The stored form. */
    public JsonNode encode() {
        ObjectNode json = Json.newObject();
        json.put(VERSION_FIELD, FORMAT_VERSION);
        if (phase.isTerminal()) {
            json.put(END_FIELD, phase == JobPhase.DONE ? DONE : CANCELLED);
            json.put(ENDED_AT_FIELD, endedAt);
        }
        if (acceptedAt > 0) {
            json.put(ACCEPTED_AT_FIELD, acceptedAt);
        }
        json.set(SUBMISSION_FIELD, submission.toJson());
        return json;
    }

    /**
     * The stored form, within a size limit if possible. A job that was accepted under larger limits
     * must still be able to end. If its record is too large, the list of machine types is left out:
     * it is the only list in such a record that can be long, and it is not needed after the end.
     *
     * @param valueBytes maximum size of the value
     */
    public JsonNode encode(int valueBytes) {
        JsonNode whole = encode();
        if (active()
                || submission.machineTypes() == null
                || Json.bytes(whole).length <= valueBytes) {
            return whole;
        }
        return new JobRecord(
                        id, submission.withoutMachineTypes(), phase, version, endedAt, acceptedAt)
                .encode();
    }

    /**
     * Reads the stored form.
     *
     * @throws MalformedMessageException if the submission in it is not valid
     */
    public static JobRecord decode(String key, JsonNode value, long version)
            throws MalformedMessageException {
        JobPhase phase =
                switch (value.path(END_FIELD).asText()) {
                    case "" -> JobPhase.QUEUED;
                    case DONE -> JobPhase.DONE;
                    default -> JobPhase.CANCELLED;
                };
        return new JobRecord(
                key.substring(PREFIX.length()),
                Submission.parse(value.path(SUBMISSION_FIELD)),
                phase,
                version,
                value.path(ENDED_AT_FIELD).asDouble(),
                value.path(ACCEPTED_AT_FIELD).asDouble());
    }
}
