package org.springmill.protocol.counterpart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/** What a worker writes, and reads of what controllers send to it. */
public final class WorkerSideMessages {
    private static final long ABSENT = -1;

    private WorkerSideMessages() {}

    /**
     * Commands with what entitles their sender to give them.
     *
     * @param token negative if there was none
     * @param session negative if there was none, as in the answer to a report
     */
    public record Orders(long token, long session, List<Command> commands) {
        public boolean hasToken() {
            return token != ABSENT;
        }

        public boolean hasSession() {
            return session != ABSENT;
        }
    }

    /** Reads the answer to a report, or commands that were sent directly. */
    public static Orders orders(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Command> commands = new ArrayList<>();
        for (JsonNode order : json.path("orders")) {
            commands.add(command(order));
        }
        return new Orders(whole(json, "baton"), whole(json, "shift"), commands);
    }

    private static long whole(JsonNode json, String field) {
        return json.path(field).isIntegralNumber() ? json.path(field).longValue() : ABSENT;
    }

    private static Command command(JsonNode order) throws MalformedMessageException {
        TaskId task = TaskId.parse(order.path("sack").asText());
        long attempt = order.path("try").longValue();
        return switch (order.path("verb").asText()) {
            case "start" -> new Start(task, attempt);
            case "halt" -> new Stop(task, attempt, order.path("windDownS").asDouble());
            default -> new Forget(task, attempt);
        };
    }

    /** The controller to which a worker is sent on; null if none is named. */
    public static String redirect(byte[] body) throws MalformedMessageException {
        JsonNode node = Json.object(body).path("foreman");
        return node.isTextual() ? node.asText() : null;
    }

    /** Writes a worker's report. */
    public static byte[] report(Heartbeat heartbeat) {
        return Json.write(
                json -> {
                    json.writeStringField("stone", heartbeat.machine());
                    json.writeStringField("addr", heartbeat.address());
                    json.writeStringField("frame", heartbeat.type());
                    json.writeStringField("yard", heartbeat.zone());
                    json.writeBooleanField("loaner", heartbeat.spot());
                    json.writeNumberField("shift", heartbeat.epoch());
                    json.writeNumberField("tally", heartbeat.sequence());
                    json.writeNumberField("baton", heartbeat.fencingToken());
                    if (heartbeat.preemptionNoticeSeconds() != null) {
                        json.writeNumberField("warningS", heartbeat.preemptionNoticeSeconds());
                    }
                    json.writeArrayFieldStart("sacks");
                    for (TaskStatus task : heartbeat.tasks()) {
                        json.writeStartObject();
                        json.writeStringField("sack", task.task().toString());
                        json.writeNumberField("try", task.attempt());
                        json.writeStringField("phase", wire(task.state()));
                        if (task.cause() != ExitCause.NONE) {
                            json.writeStringField("cause", wire(task.cause()));
                        }
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    private static String wire(TaskState state) {
        return switch (state) {
            case FETCHING -> "pulling";
            case RUNNING -> "running";
            case SAVING -> "saving";
            case EXITED -> "ended";
        };
    }

    private static String wire(ExitCause cause) {
        return switch (cause) {
            case NONE -> "";
            case DONE -> "done";
            case STOPPED -> "stopped";
            case ERROR -> "error";
            case NO_ROOM -> "no_room";
            case BUSY -> "busy";
            case UNKNOWN_JOB -> "no_such";
        };
    }
}
