package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A job as its user described it.
 *
 * @param types the allowed machine types; null for any
 * @param zone the only allowed zone; null for any
 * @param deadlineSeconds from the submission on; null if the job has none
 * @param dependencies ids of the jobs that have to be done before any task of this one starts, each
 *     once; empty for none
 */
public record Submission(
        String id,
        String jobClass,
        String team,
        JobKind shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        double estimatedRunSeconds,
        double checkpointIntervalSeconds,
        double checkpointSaveSeconds,
        Double deadlineSeconds,
        List<String> dependencies) {

    private static final Pattern ID = Pattern.compile("run-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME = 200;
    private static final String DEPENDENCIES = "waitsOn";

    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    public static Submission parse(JsonNode json) throws MalformedMessageException {
        String id = text(json, "nameId");
        if (!validId(id)) {
            throw new MalformedMessageException("nameId has not the form run-000412");
        }
        JsonNode count = json.path("sacks");
        if (!count.isIntegralNumber()
                || !count.canConvertToInt()
                || count.intValue() < 1
                || count.intValue() > MAX_TASKS) {
            throw new MalformedMessageException(
                    "sacks is not a whole number from 1 to " + MAX_TASKS);
        }
        return new Submission(
                id,
                text(json, "grist"),
                text(json, "crew"),
                JobKind.of(text(json, "shape")),
                Priority.of(text(json, "urgency")),
                count.intValue(),
                amount(json, "vcpus"),
                amount(json, "cards"),
                amount(json, "memGb"),
                text(json, "mould"),
                amount(json, "pullGb"),
                types(json.path("frames")),
                isAbsent(json.path("yard")) ? null : text(json, "yard"),
                flag(json, "samePlace"),
                flag(json, "apart"),
                flag(json, "loaner"),
                amount(json, "expectS"),
                amount(json, "stashEveryS"),
                amount(json, "stashS"),
                isAbsent(json.path("dueS")) ? null : amount(json, "dueS"),
                dependencies(json.path(DEPENDENCIES), id));
    }

    /** The same form that {@link #parse} takes; also how a job is kept in the key-value store. */
    public ObjectNode toJson() {
        ObjectNode json = Json.newObject();
        json.put("nameId", id)
                .put("grist", jobClass)
                .put("crew", team)
                .put("shape", shape.wire())
                .put("urgency", priority.wire())
                .put("sacks", tasks)
                .put("vcpus", cpus)
                .put("cards", gpus)
                .put("memGb", memoryGb)
                .put("mould", image)
                .put("pullGb", imageGb)
                .put("samePlace", oneZone)
                .put("apart", spread)
                .put("loaner", spot)
                .put("expectS", estimatedRunSeconds)
                .put("stashEveryS", checkpointIntervalSeconds)
                .put("stashS", checkpointSaveSeconds);
        if (types != null) {
            ArrayNode array = json.putArray("frames");
            types.forEach(array::add);
        }
        if (zone != null) {
            json.put("yard", zone);
        }
        if (deadlineSeconds != null) {
            json.put("dueS", deadlineSeconds);
        }
        // Only where used, so that every other record keeps the form that the version before this
        // field reads and writes.
        if (!dependencies.isEmpty()) {
            ArrayNode array = json.putArray(DEPENDENCIES);
            dependencies.forEach(array::add);
        }
        return json;
    }

    /** Whether the tasks are replicas that run until the job is cancelled. */
    public boolean service() {
        return shape == JobKind.SERVICE;
    }

    /** Whether the tasks run only all together. */
    public boolean gang() {
        return shape == JobKind.GANG;
    }

    /** The same job as if it were allowed in one zone only. */
    public Submission inZone(String only) {
        return new Submission(
                id,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                only,
                oneZone,
                spread,
                spot,
                estimatedRunSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                deadlineSeconds,
                dependencies);
    }

    /** The same job without its list of types, which nobody asks for once the job has ended. */
    public Submission withoutTypes() {
        return new Submission(
                id,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                null,
                zone,
                oneZone,
                spread,
                spot,
                estimatedRunSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                deadlineSeconds,
                dependencies);
    }

    /** How many tasks of the job one zone may hold. */
    public int perZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    public boolean checkpoints() {
        return checkpointIntervalSeconds > 0;
    }

    private static boolean isAbsent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static String text(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        if (!node.isTextual()
                || node.textValue().isEmpty()
                || node.textValue().length() > MAX_NAME) {
            throw new MalformedMessageException(
                    field + " is not a text of 1 to " + MAX_NAME + " characters");
        }
        return node.textValue();
    }

    private static double amount(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        double value = node.doubleValue();
        if (!node.isNumber() || !Double.isFinite(value) || value < 0) {
            throw new MalformedMessageException(field + " is not a number of at least 0");
        }
        return value;
    }

    private static boolean flag(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        if (!node.isBoolean()) {
            throw new MalformedMessageException(field + " is neither true nor false");
        }
        return node.booleanValue();
    }

    private static List<String> types(JsonNode node) throws MalformedMessageException {
        if (isAbsent(node)) {
            return null;
        }
        if (!node.isArray()) {
            throw new MalformedMessageException("frames is not a list");
        }
        List<String> types = new ArrayList<>();
        for (JsonNode type : node) {
            if (!type.isTextual()) {
                throw new MalformedMessageException("frames holds something that is not a text");
            }
            types.add(type.textValue());
        }
        return List.copyOf(types);
    }

    /** Each job counts once, however often it is named. */
    private static List<String> dependencies(JsonNode node, String self)
            throws MalformedMessageException {
        if (isAbsent(node)) {
            return List.of();
        }
        if (!node.isArray()) {
            throw new MalformedMessageException(DEPENDENCIES + " is not a list");
        }
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : node) {
            if (!id.isTextual() || !validId(id.textValue())) {
                throw new MalformedMessageException(
                        DEPENDENCIES + " holds something that is no job's id");
            }
            if (id.textValue().equals(self)) {
                throw new MalformedMessageException(DEPENDENCIES + " names the job itself");
            }
            ids.add(id.textValue());
        }
        return List.copyOf(ids);
    }
}
