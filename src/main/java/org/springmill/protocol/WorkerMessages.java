package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages between controllers and workers. Commands carry the leader's fencing token, which a
 * worker compares with the highest token that it has seen. Unknown fields are ignored.
 */
public final class WorkerMessages {
    /** Path of a controller to which workers post heartbeats. */
    public static final String HEARTBEAT_PATH = "/v1/report";

    /** Path of a worker to which commands are posted. */
    public static final String COMMANDS_PATH = "/orders";

    private WorkerMessages() {}

    /** State of a task on its machine. */
    public enum TaskState {
        /** Waits for its image; also stands for any state that this version does not know. */
        FETCHING,
        /** Is running. */
        RUNNING,
        /** Is saving a checkpoint after a stop command. */
        SAVING,
        /** Has ended; see its {@link ExitCause}. */
        EXITED
    }

    /** Why a task has ended. */
    public enum ExitCause {
        /** It has not ended, or its cause is unknown. */
        NONE,
        /** Completed; the result is kept. */
        DONE,
        /** Stopped by command. */
        STOPPED,
        /** Failed. */
        ERROR,
        /** Start refused: not enough free resources. */
        NO_ROOM,
        /** Start refused: another attempt of the task is on this machine. */
        BUSY,
        /** Start refused: no such job or task. */
        UNKNOWN_JOB
    }

    /**
     * One task in a heartbeat.
     *
     * @param task id of the task
     * @param attempt number of the attempt, which is the placement round that claimed it
     * @param state its state
     * @param cause why it has ended; {@link ExitCause#NONE} before that
     */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause) {}

    /**
     * A heartbeat: the state of a worker and of all tasks on its machine.
     *
     * @param machine name of the machine
     * @param address on which the worker takes commands
     * @param type name of its machine type
     * @param zone of the machine
     * @param spot whether it is a spot machine
     * @param epoch starts at 1 and increases each time the worker's lease expires
     * @param sequence increases with every message of the worker
     * @param fencingToken highest fencing token that the worker has seen
     * @param preemptionNoticeSeconds seconds until the cloud preempts the machine; null without a
     *     preemption notice
     * @param tasks all tasks on the machine, including those that have ended
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

        /**
         * Whether this heartbeat is newer than another message of the same worker.
         *
         * @param otherEpoch epoch of the other message
         * @param otherSequence sequence number of the other message
         */
        public boolean isNewerThan(long otherEpoch, long otherSequence) {
            return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
        }
    }

    /** A command to a worker. Each is idempotent, except {@link Start} after {@link Forget}. */
    public sealed interface Command {
        /** The task that it applies to. */
        TaskId task();

        /** The attempt that it applies to. */
        long attempt();
    }

    /**
     * Starts an attempt; does nothing if the worker already knows that attempt.
     *
     * @param task id of the task
     * @param attempt number of the attempt to start
     */
    public record Start(TaskId task, long attempt) implements Command {}

    /**
     * Stops an attempt.
     *
     * @param task id of the task
     * @param attempt number of the attempt to stop
     * @param graceSeconds time that a task with checkpoints has to save one; 0 ends it immediately
     */
    public record Stop(TaskId task, long attempt, double graceSeconds) implements Command {}

    /**
     * Removes an attempt that has ended from the heartbeats. The worker then forgets it: a start
     * that arrives later would run it again.
     *
     * @param task id of the task
     * @param attempt number of the attempt that has ended
     */
    public record Forget(TaskId task, long attempt) implements Command {}

    /**
     * Decodes a heartbeat, or the response to a command, which has the same form.
     *
     * @throws MalformedMessageException if a required field is missing or invalid
     */
    public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<TaskStatus> tasks = taskStatuses(json.path(WireFields.TASKS));
        JsonNode notice = json.path(WireFields.PREEMPTION_NOTICE_SECONDS);
        String machine = json.path(WireFields.MACHINE).asText();
        if (machine.isEmpty()) {
            throw new MalformedMessageException(WireFields.MACHINE + " is missing");
        }
        return new Heartbeat(
                machine,
                json.path(WireFields.ADDRESS).asText(),
                json.path(WireFields.MACHINE_TYPE).asText(),
                json.path(WireFields.ZONE).asText(),
                json.path(WireFields.SPOT).asBoolean(),
                wholeNumber(json, WireFields.EPOCH),
                wholeNumber(json, WireFields.SEQUENCE),
                wholeNumber(json, WireFields.FENCING_TOKEN),
                notice.isNumber() ? notice.doubleValue() : null,
                tasks);
    }

    private static List<TaskStatus> taskStatuses(JsonNode array) throws MalformedMessageException {
        List<TaskStatus> tasks = new ArrayList<>(array.size());
        for (JsonNode task : array) {
            tasks.add(
                    new TaskStatus(
                            TaskId.parse(task.path(WireFields.TASK).asText()),
                            wholeNumber(task, WireFields.ATTEMPT),
                            taskState(task.path(WireFields.PHASE).asText()),
                            exitCause(task.path(WireFields.EXIT_CAUSE).asText())));
        }
        return tasks;
    }

    /**
     * Encodes the response to a heartbeat, which renews the worker's lease.
     *
     * @param fencingToken of the leader
     */
    public static byte[] encodeHeartbeatResponse(long fencingToken, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField(WireFields.FENCING_TOKEN, fencingToken);
                    writeCommands(json, commands);
                });
    }

    /**
     * Encodes commands that are sent directly to a worker; they do not renew its lease.
     *
     * @param fencingToken of the leader
     * @param epoch of the worker, which refuses commands with any other epoch
     */
    public static byte[] encodeCommands(long fencingToken, long epoch, List<Command> commands) {
        return Json.write(
                json -> {
                    json.writeNumberField(WireFields.FENCING_TOKEN, fencingToken);
                    json.writeNumberField(WireFields.EPOCH, epoch);
                    writeCommands(json, commands);
                });
    }

    /**
     * Encodes the redirection of a worker to the leader.
     *
     * @param leader name of the leading controller; null if it is not known
     */
    public static byte[] encodeRedirect(String leader) {
        return Json.write(
                json -> {
                    if (leader != null) {
                        json.writeStringField(WireFields.LEADER, leader);
                    }
                });
    }

    private static void writeCommands(JsonGenerator json, List<Command> commands)
            throws IOException {
        json.writeArrayFieldStart(WireFields.COMMANDS);
        for (Command command : commands) {
            json.writeStartObject();
            json.writeStringField(WireFields.VERB, verbOf(command));
            json.writeStringField(WireFields.TASK, command.task().toString());
            json.writeNumberField(WireFields.ATTEMPT, command.attempt());
            if (command instanceof Stop stop) {
                json.writeNumberField(WireFields.GRACE_SECONDS, stop.graceSeconds());
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static String verbOf(Command command) {
        if (command instanceof Start) {
            return "start";
        }
        if (command instanceof Stop) {
            return "halt";
        }
        return "clear";
    }

    private static long wholeNumber(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        if (!node.isIntegralNumber()) {
            throw new MalformedMessageException(field + " is not a whole number");
        }
        return node.longValue();
    }

    private static TaskState taskState(String wireName) {
        return switch (wireName) {
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "ended" -> TaskState.EXITED;
            // Any other state is treated like a fetch: it takes resources but does not run yet.
            default -> TaskState.FETCHING;
        };
    }

    private static ExitCause exitCause(String wireName) {
        return switch (wireName) {
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
