package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and workers. */
public final class WorkerMessages {
    public static final String REPORT = "/v1/report";
    public static final String ORDERS = "/orders";

    private WorkerMessages() {}

    /** Where a task stands on its machine. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task has ended. */
    public enum Cause {
        NONE,
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN_JOB
    }

    /** One task of a report. */
    public record TaskReport(TaskId task, long attempt, TaskState state, Cause cause) {}

    /**
     * A worker's account of itself.
     *
     * @param noticeS seconds until the cloud takes the machine away; null without notice
     */
    public record Report(
            String machine,
            String address,
            String type,
            String zone,
            boolean spot,
            long session,
            long seq,
            long token,
            Double noticeS,
            List<TaskReport> tasks) {

        public boolean newerThan(long otherSession, long otherSeq) {
            return session > otherSession || (session == otherSession && seq > otherSeq);
        }
    }

    /** An order to a worker. */
    public sealed interface Command {
        TaskId task();

        long attempt();
    }

    public record Start(TaskId task, long attempt) implements Command {}

    public record Stop(TaskId task, long attempt, double graceS) implements Command {}

    public record Forget(TaskId task, long attempt) implements Command {}

    public static Report report(byte[] body) throws BadMessageException {
        JsonNode json = Json.object(body);
        JsonNode listed = json.path("sacks");
        List<TaskReport> tasks = new ArrayList<>(listed.size());
        for (JsonNode task : listed) {
            tasks.add(
                    new TaskReport(
                            TaskId.parse(task.path("sack").asText()),
                            whole(task, "try"),
                            state(task.path("phase").asText()),
                            cause(task.path("cause").asText())));
        }
        JsonNode notice = json.path("warningS");
        String machine = json.path("stone").asText();
        if (machine.isEmpty()) {
            throw new BadMessageException("stone is missing");
        }
        return new Report(
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

    public static byte[] reportAnswer(long token, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField("baton", token);
                    writeCommands(json, commands);
                });
    }

    public static byte[] orders(long token, long session, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField("baton", token);
                    json.writeNumberField("shift", session);
                    writeCommands(json, commands);
                });
    }

    /** Sends a worker on to the controller that leads; null if that is not known. */
    public static byte[] redirect(String node) {
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
                json.writeNumberField("windDownS", stop.graceS());
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static String verb(Command command) {
        if (command instanceof Start) {
            return "start";
        }
        return command instanceof Stop ? "halt" : "clear";
    }

    private static long whole(JsonNode json, String field) throws BadMessageException {
        JsonNode node = json.path(field);
        if (!node.isIntegralNumber()) {
            throw new BadMessageException(field + " is not a whole number");
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

    private static Cause cause(String wire) {
        return switch (wire) {
            case "" -> Cause.NONE;
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "no_room" -> Cause.NO_ROOM;
            case "busy" -> Cause.BUSY;
            case "no_such" -> Cause.UNKNOWN_JOB;
            default -> Cause.ERROR;
        };
    }
}
