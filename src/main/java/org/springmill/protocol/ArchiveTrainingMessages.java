package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a key-value store, a cloud and one worker would say in the rehearsal of a build (see {@code
 * cli}): just enough for a controller to lead, to place a task and to stop it.
 */
public final class ArchiveTrainingMessages {
    private static final String MACHINE = "host-000001";
    private static final String TYPE = "m";
    private static final String ZONE = "here";

    private final String address;
    private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
    private long revision = 1;
    private long token;
    private long seq;

    /** An answer with its status. */
    public record Answer(int status, byte[] body) {}

    /**
     * @param address where this worker takes commands
     */
    public ArchiveTrainingMessages(String address) {
        this.address = address;
    }

    public Answer answer(String method, String path, byte[] body) throws MalformedMessageException {
        if (path.startsWith("/store/")) {
            return new Answer(404, text("{\"ledgerRev\":" + revision + "}"));
        } else if (path.equals("/store")) {
            return ok("{\"pairs\":[],\"truncated\":false,\"ledgerRev\":" + revision + "}");
        } else if (path.equals("/changes")) {
            return ok("{\"ledgerRev\":" + revision + ",\"news\":[]}");
        } else if (path.startsWith(KeyValueStoreMessages.LEASES)) {
            return ok("{\"tenancy\":1}");
        } else if (path.equals(KeyValueStoreMessages.COMMIT)) {
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
            obey(Json.object(body));
            return new Answer(200, report());
        }
        return ok("{}");
    }

    private void obey(JsonNode orders) {
        token = Math.max(token, orders.path(WireFields.FENCING_TOKEN).longValue());
        for (JsonNode order : orders.path(WireFields.COMMANDS)) {
            String task = order.path(WireFields.TASK).asText();
            switch (order.path(WireFields.VERB).asText()) {
                case "start" ->
                        tasks.put(
                                task,
                                Json.newObject()
                                        .put(WireFields.TASK, task)
                                        .put(
                                                WireFields.ATTEMPT,
                                                order.path(WireFields.ATTEMPT).longValue())
                                        .put(WireFields.PHASE, "running"));
                case "halt" ->
                        tasks.computeIfPresent(
                                task,
                                (t, state) ->
                                        state.put(WireFields.PHASE, "ended")
                                                .put(WireFields.EXIT_CAUSE, "stopped"));
                default -> tasks.remove(task);
            }
        }
    }

    /** The worker's report as it stands. */
    public byte[] report() {
        ObjectNode report =
                Json.newObject()
                        .put(WireFields.MACHINE, MACHINE)
                        .put(WireFields.ADDRESS, address)
                        .put(WireFields.MACHINE_TYPE, TYPE)
                        .put(WireFields.ZONE, ZONE)
                        .put(WireFields.SPOT, false)
                        .put(WireFields.EPOCH, 1)
                        .put(WireFields.SEQUENCE, ++seq)
                        .put(WireFields.FENCING_TOKEN, token);
        ArrayNode listed = report.putArray(WireFields.TASKS);
        tasks.values().forEach(listed::add);
        return Json.bytes(report);
    }

    /** A submission of two replicas, or of an array. */
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
