package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.UserMessages.JobPhase;

/**
 * What is kept for good of a job whose record has left {@code job/}: its final state and what later
 * questions and submissions need of it. Stored under {@code ended/<id>}, a prefix that no
 * controller ever lists or watches, so nothing but the key-value store grows with it.
 *
 * @param phase done or cancelled
 * @param tasks number of its tasks
 * @param service whether it was a service, on which no job may wait
 * @param endedAt time of day at which its end was asked for; 0 if not known
 * @param endRevision revision of the key-value store at which its end was committed
 */
public record ArchivedJob(
        String id, JobPhase phase, int tasks, boolean service, double endedAt, long endRevision) {
    public static final String PREFIX = "ended/";

    private static final int FORMAT = 1;
    private static final String DONE = "done";
    private static final String CANCELLED = "cancelled";
    private static final String SERVICE = "replicated";

    /** Key under which the final state of a job stands once its record has been moved. */
    public static String key(String id) {
        return PREFIX + id;
    }

    /**
     * What is kept of a record in its final state.
     *
     * @throws IllegalArgumentException if the job has not ended
     */
    public static ArchivedJob of(JobRecord record) {
        if (record.active()) {
            throw new IllegalArgumentException(record.id() + " has not ended");
        }
        return new ArchivedJob(
                record.id(),
                record.phase(),
                record.submission().tasks(),
                record.submission().service(),
                record.endedAt(),
                record.version());
    }

    public String key() {
        return key(id);
    }

    public boolean cancelled() {
        return phase == JobPhase.CANCELLED;
    }

    public JsonNode encode() {
        ObjectNode json = Json.newObject();
        json.put("v", FORMAT);
        json.put("end", cancelled() ? CANCELLED : DONE).put("at", endedAt);
        json.put("tasks", tasks).put(SERVICE, service).put("rev", endRevision);
        return json;
    }

    /** Reads the stored form. */
    public static ArchivedJob decode(String key, JsonNode value) {
        return new ArchivedJob(
                key.substring(PREFIX.length()),
                value.path("end").asText().equals(DONE) ? JobPhase.DONE : JobPhase.CANCELLED,
                value.path("tasks").asInt(),
                value.path(SERVICE).asBoolean(),
                value.path("at").asDouble(),
                value.path("rev").asLong());
    }
}
