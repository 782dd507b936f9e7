package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.Json;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.Phase;

/**
 * A job in the state service, under {@code job/<id>}: the submission as accepted, and how it ended once it has. The
 * submission stays, for a later leader has to count what an ended job's tasks still hold.
 *
 * @param phase QUEUED while active: whether tasks run is not stored
 * @param endedAt time of day at which its end was asked for; 0 if active or not known
 */
public record JobRecord(String id, Submission submission, Phase phase, long version, double endedAt) {
    public static final String PREFIX = "job/";

    public static String key(String id) {
        return PREFIX + id;
    }

    public boolean active() {
        return !phase.terminal();
    }

    public static JsonNode encode(Submission submission) {
        return encode(submission, Phase.QUEUED, 0);
    }

    public static JsonNode encode(Submission submission, Phase phase, double endedAt) {
        ObjectNode json = Json.newObject();
        json.put("v", 1);
        if (phase.terminal()) {
            json.put("end", phase == Phase.DONE ? "done" : "cancelled").put("at", endedAt);
        }
        json.set("job", submission.toJson());
        return json;
    }

    public static JobRecord decode(String key, JsonNode value, long version) throws BadMessageException {
        Phase phase = switch (value.path("end").asText()) {
            case "" -> Phase.QUEUED;
            case "done" -> Phase.DONE;
            default -> Phase.CANCELLED;
        };
        return new JobRecord(key.substring(PREFIX.length()), Submission.parse(value.path("job")), phase, version,
                value.path("at").asDouble());
    }
}
