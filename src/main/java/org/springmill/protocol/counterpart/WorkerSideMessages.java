package org.springmill.protocol.counterpart;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WireFields;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/** A worker's side of {@link WorkerMessages}: encodes heartbeats, decodes commands. */
public final class WorkerSideMessages {
    private static final long ABSENT = -1;

    private WorkerSideMessages() {}

    /**
     * Commands with the fencing token and the epoch that a worker checks before it executes them.
     *
     * @param fencingToken the sender's fencing token; negative if there was none
     * @param epoch the worker's epoch that the commands are meant for; negative if there was none,
     *     as in the response to a heartbeat
     * @param commands in the order in which they are executed
     */
    public record CommandBatch(long fencingToken, long epoch, List<Command> commands) {
        /** Whether there was a fencing token. */
        public boolean hasFencingToken() {
            return fencingToken != ABSENT;
        }

        /** Whether there was an epoch. */
        public boolean hasEpoch() {
            return epoch != ABSENT;
        }
    }

    /**
     * Decodes the response to a heartbeat, or commands that were sent directly.
     *
     * @throws MalformedMessageException if the body is not a JSON object or a task id is invalid
     */
    public static CommandBatch decodeCommands(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Command> commands = new ArrayList<>();
        for (JsonNode command : json.path(WireFields.COMMANDS)) {
            commands.add(decodeCommand(command));
        }
        return new CommandBatch(
                wholeNumberOrAbsent(json, WireFields.FENCING_TOKEN),
                wholeNumberOrAbsent(json, WireFields.EPOCH),
                commands);
    }

    private static long wholeNumberOrAbsent(JsonNode json, String field) {
        return json.path(field).isIntegralNumber() ? json.path(field).longValue() : ABSENT;
    }

    private static Command decodeCommand(JsonNode json) throws MalformedMessageException {
        TaskId task = TaskId.parse(json.path(WireFields.TASK).asText());
        long attempt = json.path(WireFields.ATTEMPT).longValue();
        return switch (json.path(WireFields.VERB).asText()) {
            case "start" -> new Start(task, attempt);
            case "halt" -> new Stop(task, attempt, json.path(WireFields.GRACE_SECONDS).asDouble());
            default -> new Forget(task, attempt);
        };
    }

    /**
     * Decodes the name of the controller to which a worker is redirected; null if none is named.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static String decodeRedirect(byte[] body) throws MalformedMessageException {
        JsonNode node = Json.object(body).path(WireFields.LEADER);
        return node.isTextual() ? node.asText() : null;
    }

    /** Encodes a heartbeat. */
    public static byte[] encodeHeartbeat(Heartbeat heartbeat) {
        return Json.write(
                json -> {
                    json.writeStringField(WireFields.MACHINE, heartbeat.machine());
                    json.writeStringField(WireFields.ADDRESS, heartbeat.address());
                    json.writeStringField(WireFields.MACHINE_TYPE, heartbeat.type());
                    json.writeStringField(WireFields.ZONE, heartbeat.zone());
                    json.writeBooleanField(WireFields.SPOT, heartbeat.spot());
                    json.writeNumberField(WireFields.EPOCH, heartbeat.epoch());
                    json.writeNumberField(WireFields.SEQUENCE, heartbeat.sequence());
                    json.writeNumberField(WireFields.FENCING_TOKEN, heartbeat.fencingToken());
                    if (heartbeat.preemptionNoticeSeconds() != null) {
                        json.writeNumberField(
                                WireFields.PREEMPTION_NOTICE_SECONDS,
                                heartbeat.preemptionNoticeSeconds());
                    }
                    json.writeArrayFieldStart(WireFields.TASKS);
                    for (TaskStatus task : heartbeat.tasks()) {
                        writeTask(json, task);
                    }
                    json.writeEndArray();
                });
    }

    private static void writeTask(JsonGenerator json, TaskStatus task) throws IOException {
        json.writeStartObject();
        json.writeStringField(WireFields.TASK, task.task().toString());
        json.writeNumberField(WireFields.ATTEMPT, task.attempt());
        json.writeStringField(WireFields.PHASE, wireName(task.state()));
        if (task.cause() != ExitCause.NONE) {
            json.writeStringField(WireFields.EXIT_CAUSE, wireName(task.cause()));
        }
        json.writeEndObject();
    }

    private static String wireName(TaskState state) {
        return switch (state) {
            case FETCHING -> "pulling";
            case RUNNING -> "running";
            case SAVING -> "saving";
            case EXITED -> "ended";
        };
    }

    private static String wireName(ExitCause cause) {
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
