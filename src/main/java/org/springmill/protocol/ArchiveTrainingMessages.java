package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Minimal emulated responses of the key-value store, the cloud and a worker for the training run of
 * the class-data archive by the command {@code train-archive}: enough for a controller to become
 * leader, place a task and stop it. The fixed responses spell out field names of {@link
 * WireFields}.
 */
public final class ArchiveTrainingMessages {
    private static final String MACHINE = "host-000001";
    private static final String TYPE = "m";
    private static final String ZONE = "here";

    private final String address;
    private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
    private long revision = 1;
    private long fencingToken;
    private long sequence;

    /**
     * A response.
     *
     * @param status HTTP status
     * @param body of the response
     */
    public record Answer(int status, byte[] body) {}

    /**
     * Creates the messages for a worker with this address.
     *
     * @param address on which the worker takes commands
     */
    public ArchiveTrainingMessages(String address) {
        this.address = address;
    }

    /**
     * The response to a request; the path determines which of the three services answers it.
     *
     * @throws MalformedMessageException if commands are not a JSON object
     */
    public Answer answer(String method, String path, byte[] body) throws MalformedMessageException {
        if (path.startsWith("/store/")) {
            return new Answer(404, text("{\"ledgerRev\":" + revision + "}"));
        } else if (path.equals("/store")) {
            return ok("{\"pairs\":[],\"truncated\":false,\"ledgerRev\":" + revision + "}");
        } else if (path.equals("/changes")) {
            return ok("{\"ledgerRev\":" + revision + ",\"news\":[]}");
        } else if (path.startsWith(KeyValueStoreMessages.LEASES_PATH)) {
            return ok("{\"tenancy\":1}");
        } else if (path.equals(KeyValueStoreMessages.COMMIT_PATH)) {
            return ok("{\"ledgerRev\":" + ++revision + "}");
        } else if (path.equals(CloudMessages.MACHINE_TYPES_PATH)) {
            return ok(
                    "{\"frames\":[{\"sku\":\"m\",\"vcpus\":4,\"cards\":1,\"memGb\":8,\"localGb\":9,\"pullGbPerS\":1.0,"
                            + "\"price\":1.0,\"marketPrice\":0.5,\"bootS\":1,\"yards\":[\"here\"]}]}");
        } else if (path.equals(CloudMessages.RENTALS_PATH) && method.equals("POST")) {
            return ok("{\"stones\":[]}");
        } else if (path.equals(CloudMessages.RENTALS_PATH)) {
            return ok(
                    "{\"stones\":[{\"nameId\":\""
                            + MACHINE
                            + "\",\"addr\":\""
                            + address
                            + "\",\"frame\":\"m\","
                            + "\"yard\":\"here\",\"loaner\":false,\"phase\":\"running\",\"heldS\":1.5}],\"truncated\":false}");
        } else if (path.equals(WorkerMessages.COMMANDS_PATH)) {
            execute(Json.object(body));
            return new Answer(200, heartbeat());
        }
        return ok("{}");
    }

    private void execute(JsonNode request) {
        fencingToken = Math.max(fencingToken, request.path(WireFields.FENCING_TOKEN).longValue());
        for (JsonNode command : request.path(WireFields.COMMANDS)) {
            String task = command.path(WireFields.TASK).asText();
            switch (command.path(WireFields.VERB).asText()) {
                case "start" ->
                        tasks.put(
                                task,
                                Json.newObject()
                                        .put(WireFields.TASK, task)
                                        .put(
                                                WireFields.ATTEMPT,
                                                command.path(WireFields.ATTEMPT).longValue())
                                        .put(WireFields.PHASE, "running"));
                case "halt" ->
                        tasks.computeIfPresent(
                                task,
                                (id, status) ->
                                        status.put(WireFields.PHASE, "ended")
                                                .put(WireFields.EXIT_CAUSE, "stopped"));
                // The controller has recorded the end of the attempt.
                default -> tasks.remove(task);
            }
        }
    }

    /** The next heartbeat of the worker. */
    public byte[] heartbeat() {
        ObjectNode heartbeat =
                Json.newObject()
                        .put(WireFields.MACHINE, MACHINE)
                        .put(WireFields.ADDRESS, address)
                        .put(WireFields.MACHINE_TYPE, TYPE)
                        .put(WireFields.ZONE, ZONE)
                        .put(WireFields.SPOT, false)
                        .put(WireFields.EPOCH, 1)
                        .put(WireFields.SEQUENCE, ++sequence)
                        .put(WireFields.FENCING_TOKEN, fencingToken);
        ArrayNode taskStatuses = heartbeat.putArray(WireFields.TASKS);
        tasks.values().forEach(taskStatuses::add);
        return Json.bytes(heartbeat);
    }

    /**
     * A submission of two tasks.
     *
     * @param service whether they are replicas of a service, rather than an array
     */
    public static byte[] submission(String id, boolean service) {
        return Json.bytes(
                new Submission(
                                id,
                                "c",
                                "t",
                                service ? JobKind.SERVICE : JobKind.ARRAY,
                                Priority.PRODUCTION,
                                2,
                                1,
                                0,
                                1,
                                "image",
                                1,
                                null,
                                null,
                                false,
                                service,
                                !service,
                                1,
                                1,
                                1,
                                null,
                                List.of())
                        .toJson());
    }

    private static Answer ok(String json) {
        return new Answer(200, text(json));
    }

    private static byte[] text(String json) {
        return json.getBytes(StandardCharsets.UTF_8);
    }
}
