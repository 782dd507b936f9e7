package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages between controllers and workers. The names on the wire stand only in this class; fields
 * that it does not read are ignored.
 */
public final class WorkerMessages {
    /** Path of a controller to which workers report. */
    public static final String HEARTBEAT_PATH = "/v1/report";

    /** Path of a worker that takes commands. */
    public static final String COMMANDS_PATH = "/orders";

    private WorkerMessages() {}

    /** Where a task stands on its machine. */
    public enum TaskState {
        /** Waits for its image, or is in a state that is not known here. */
        FETCHING,
        RUNNING,
        /** Was told to stop and saves its progress. */
        SAVING,
        EXITED
    }

    /** Why a task has ended. */
    public enum ExitCause {
        /** It has not ended, or nothing is known but that it is gone. */
        NONE,
        /** Completed; the result is kept. */
        DONE,
        /** Stopped by command. */
        STOPPED,
        /** Failed. */
        ERROR,
        /** Start refused: not enough free resources. */
        NO_ROOM,
        /** Start refused: the task is on this machine with another attempt. */
        BUSY,
        /** Start refused: no such job or task. */
        UNKNOWN_JOB
    }

    /**
     * One task of a report.
     *
     * @param attempt number of the attempt, which is the placement round that claimed it
     */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {}

    /**
     * A worker's state as it reports it.
     *
     * @param epoch begins at 1 and rises whenever the worker's lease has expired
     * @param sequence rises with every message of the worker
     * @param fencingToken highest token that the worker has seen
     * @param preemptionNoticeSeconds seconds until the cloud takes the machine away; null without
     *     notice
     */
    public record Heartbeat(
            String machine,
            String address,
            String type,
            String zone,
            boolean spot,
            long epoch,
            long sequence,
            long fencingToken,
            Double preemptionNoticeSeconds,
            List<TaskStatus> tasks) {

        /** Whether this report was made after another message of the same worker. */
        public boolean isNewerThan(long otherSession, long otherSeq) {
            return epoch > otherSession || (epoch == otherSession && sequence > otherSeq);
        }
    }

    /** A command to a worker. */
    public sealed interface Command {
        /** The task that it is about. */
        TaskId task();

        /** The attempt that it is about. */
        long attempt();
    }

    /** Starts an attempt; does nothing while the worker knows that attempt. */
    public record Start(TaskId task, long attempt) implements Command {}

    /**
     * Stops an attempt.
     *
     * @param graceSeconds seconds that a task which can save its progress has for that
     */
    public record Stop(TaskId task, long attempt, double graceSeconds) implements Command {}

    /**
     * Removes an attempt that has ended from the reports. The worker then forgets it: a start that
     * arrives later would run it again.
     */
    public record Forget(TaskId task, long attempt) implements Command {}

    /** Decodes a report, or the answer to a command, which has the same form. */
    public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<TaskStatus> tasks = taskReports(json.path("sacks"));
        JsonNode notice = json.path("warningS");
        String machine = json.path("stone").asText();
        if (machine.isEmpty()) {
            throw new MalformedMessageException("stone is missing");
        }
        return new Heartbeat(
                machine,
                json.path("addr").asText(),
                json.path("frame").asText(),
                json.path("yard").asText(),
                json.path("loaner").asBoolean(),
                whole(json, "shift"),
                whole(json, "tally"),
                whole(json, "baton"),
                notice.isNumber() ? notice.doubleValue() : null,
                tasks);
    }

    private static List<TaskStatus> taskReports(JsonNode array) throws MalformedMessageException {
        List<TaskStatus> tasks = new ArrayList<>(array.size());
        for (JsonNode task : array) {
            tasks.add(
                    new TaskStatus(
                            TaskId.parse(task.path("sack").asText()),
                            whole(task, "try"),
                            state(task.path("phase").asText()),
                            cause(task.path("cause").asText())));
        }
        return tasks;
    }

    /** Encodes the answer to a report, which renews the worker's lease. */
    public static byte[] encodeHeartbeatResponse(long token, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField("baton", token);
                    writeCommands(json, commands);
                });
    }

    /** Encodes commands that are sent straight to a worker; they do not renew its lease. */
    public static byte[] encodeCommands(long token, long session, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField("baton", token);
                    json.writeNumberField("shift", session);
                    writeCommands(json, commands);
                });
    }

    /** Sends a worker on to the controller that leads; null if that is not known. */
    public static byte[] encodeRedirect(String node) {
        return Json.write(
                json -> {
                    if (node != null) {
                        json.writeStringField("foreman", node);
                    }
                });
    }

    private static void writeCommands(JsonGenerator json, List<Command> commands)
            throws IOException {
        json.writeArrayFieldStart("orders");
        for (Command command : commands) {
            json.writeStartObject();
            json.writeStringField("verb", verb(command));
            json.writeStringField("sack", command.task().toString());
            json.writeNumberField("try", command.attempt());
            if (command instanceof Stop stop) {
                json.writeNumberField("windDownS", stop.graceSeconds());
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static String verb(Command command) {
        if (command instanceof Start) {
            return "start";
        }
        if (command instanceof Stop) {
            return "halt";
        }
        return "clear";
    }

    private static long whole(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        if (!node.isIntegralNumber()) {
            throw new MalformedMessageException(field + " is not a whole number");
        }
        return node.longValue();
    }

    private static TaskState state(String wire) {
        return switch (wire) {
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "ended" -> TaskState.EXITED;
            // Anything else holds its place on the machine without running yet, as a fetch does.
            default -> TaskState.FETCHING;
        };
    }

    private static ExitCause cause(String wire) {
        return switch (wire) {
            case "" -> ExitCause.NONE;
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "no_room" -> ExitCause.NO_ROOM;
            case "busy" -> ExitCause.BUSY;
            case "no_such" -> ExitCause.UNKNOWN_JOB;
            default -> ExitCause.ERROR;
        };
    }
}
