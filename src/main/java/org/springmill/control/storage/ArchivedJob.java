package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.UserMessages.JobPhase;

/**
 * The archived record of a job that has ended: its final state and the fields that later queries
 * and submissions need. It permanently replaces the record under {@code job/}. It is stored under
 * {@code ended/<id>}, a prefix that no controller lists or watches, so archived jobs use space only
 * in the key-value store.
 *
 * @param phase done or cancelled
 * @param tasks number of its tasks
 * @param service whether it was a service, on which no job may depend
 * @param endedAt time of day in seconds at which its end was requested; 0 if not known
 * @param endRevision revision of the key-value store at which its end was committed
 */
public record ArchivedJob(
        String id, JobPhase phase, int tasks, boolean service, double endedAt, long endRevision) {
    /** Prefix of the keys of all archived records. */
    public static final String PREFIX = "ended/";

    private static final int FORMAT_VERSION = 1;
    private static final String VERSION_FIELD = "v";
    private static final String END_FIELD = "end";
    private static final String ENDED_AT_FIELD = "at";
    private static final String TASKS_FIELD = "tasks";
    private static final String SERVICE_FIELD = "replicated";
    private static final String END_REVISION_FIELD = "rev";
    private static final String DONE = "done";
    private static final String CANCELLED = "cancelled";

    /** The key of a job's archived record. */
    public static String key(String id) {
        return PREFIX + id;
    }

    /**
     * The archived form of a record in its final state.
     *
     * @throws IllegalArgumentException if the job has not ended
     */
    public static ArchivedJob of(JobRecord record) {
        if (record.active()) {
            throw new IllegalArgumentException(
                    "job " + record.id() + " cannot be archived in phase " + record.phase());
        }
        return new ArchivedJob(
                record.id(),
                record.phase(),
                record.submission().tasks(),
                record.submission().isService(),
                record.endedAt(),
                record.version());
    }

    /** The key of this record. */
    public String key() {
        return key(id);
    }

    /** Whether the job ended by cancellation. */
    public boolean cancelled() {
        return phase == JobPhase.CANCELLED;
    }

    /** The stored form. */
    public JsonNode encode() {
        ObjectNode json = Json.newObject();
        json.put(VERSION_FIELD, FORMAT_VERSION);
        json.put(END_FIELD, cancelled() ? CANCELLED : DONE);
        json.put(ENDED_AT_FIELD, endedAt);
        json.put(TASKS_FIELD, tasks);
        json.put(SERVICE_FIELD, service);
        json.put(END_REVISION_FIELD, endRevision);
        return json;
    }

    /** Reads the stored form. */
    public static ArchivedJob decode(String key, JsonNode value) {
        boolean isDone = value.path(END_FIELD).asText().equals(DONE);
        return new ArchivedJob(
                key.substring(PREFIX.length()),
                isDone ? JobPhase.DONE : JobPhase.CANCELLED,
                value.path(TASKS_FIELD).asInt(),
                value.path(SERVICE_FIELD).asBoolean(),
                value.path(ENDED_AT_FIELD).asDouble(),
                value.path(END_REVISION_FIELD).asLong());
    }
}
