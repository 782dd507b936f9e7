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
 * The specification of a job, as submitted by its user.
 *
 * @param id unique id of the job, chosen by its user
 * @param jobClass the class of jobs that it belongs to, for which the settings hold objectives
 * @param team the team whose guarantee and limit apply
 * @param kind execution model of its tasks
 * @param priority decides which work it may preempt
 * @param tasks number of tasks, which are numbered from 0
 * @param cpus CPUs that each task takes
 * @param gpus GPUs that each task takes
 * @param memoryGb memory that each task takes, in GB
 * @param image image that a machine needs before a task can start
 * @param imageGb size of the image, in GB
 * @param machineTypes the allowed machine types; null for any
 * @param zone the only allowed zone; null for any
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether at most half of the tasks, rounded up, may be in one zone
 * @param spot whether spot machines are allowed
 * @param estimatedRunSeconds the owner's estimate of a task's run time; 0 for services
 * @param checkpointIntervalSeconds interval of a running task's checkpoints; 0 if it saves none
 * @param checkpointSaveSeconds time that a task takes to save a checkpoint when it is stopped
 * @param deadlineSeconds deadline in seconds after the submission; null if the job has none
 * @param dependencies ids of the jobs that have to be done before any task of this one starts, each
 *     once; empty for none
 */
public record Submission(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> machineTypes,
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
    private static final int MAX_TEXT_LENGTH = 200;

    /** Whether a text has the form of a job id, such as {@code run-000412}. */
    public static boolean isValidId(String id) {
        return ID.matcher(id).matches();
    }

    /**
     * Reads the JSON form of a job.
     *
     * @throws MalformedMessageException if a field is missing or invalid; the message names it
     */
    public static Submission parse(JsonNode json) throws MalformedMessageException {
        String id = text(json, WireFields.JOB_ID);
        if (!isValidId(id)) {
            throw new MalformedMessageException(WireFields.JOB_ID + " has not the form run-000412");
        }
        int tasks = taskCount(json);
        return new Submission(
                id,
                text(json, WireFields.JOB_CLASS),
                text(json, WireFields.TEAM),
                JobKind.of(text(json, WireFields.JOB_KIND)),
                Priority.of(text(json, WireFields.PRIORITY)),
                tasks,
                amount(json, WireFields.CPUS),
                amount(json, WireFields.GPUS),
                amount(json, WireFields.MEMORY_GB),
                text(json, WireFields.IMAGE),
                amount(json, WireFields.IMAGE_GB),
                machineTypes(json.path(WireFields.MACHINE_TYPES)),
                isAbsent(json, WireFields.ZONE) ? null : text(json, WireFields.ZONE),
                flag(json, WireFields.ONE_ZONE),
                flag(json, WireFields.SPREAD),
                flag(json, WireFields.SPOT),
                amount(json, WireFields.ESTIMATED_RUN_SECONDS),
                amount(json, WireFields.CHECKPOINT_INTERVAL_SECONDS),
                amount(json, WireFields.CHECKPOINT_SAVE_SECONDS),
                isAbsent(json, WireFields.DEADLINE_SECONDS)
                        ? null
                        : amount(json, WireFields.DEADLINE_SECONDS),
                dependencies(json.path(WireFields.DEPENDENCIES), id));
    }

    /** The form that {@link #parse} reads; jobs are also stored in the key-value store in it. */
    public ObjectNode toJson() {
        ObjectNode json = Json.newObject();
        json.put(WireFields.JOB_ID, id)
                .put(WireFields.JOB_CLASS, jobClass)
                .put(WireFields.TEAM, team)
                .put(WireFields.JOB_KIND, kind.wireName())
                .put(WireFields.PRIORITY, priority.wireName())
                .put(WireFields.TASKS, tasks)
                .put(WireFields.CPUS, cpus)
                .put(WireFields.GPUS, gpus)
                .put(WireFields.MEMORY_GB, memoryGb)
                .put(WireFields.IMAGE, image)
                .put(WireFields.IMAGE_GB, imageGb)
                .put(WireFields.ONE_ZONE, oneZone)
                .put(WireFields.SPREAD, spread)
                .put(WireFields.SPOT, spot)
                .put(WireFields.ESTIMATED_RUN_SECONDS, estimatedRunSeconds)
                .put(WireFields.CHECKPOINT_INTERVAL_SECONDS, checkpointIntervalSeconds)
                .put(WireFields.CHECKPOINT_SAVE_SECONDS, checkpointSaveSeconds);
        if (machineTypes != null) {
            putTexts(json, WireFields.MACHINE_TYPES, machineTypes);
        }
        if (zone != null) {
            json.put(WireFields.ZONE, zone);
        }
        if (deadlineSeconds != null) {
            json.put(WireFields.DEADLINE_SECONDS, deadlineSeconds);
        }
        // Omitted if empty, so that records without dependencies keep the format of the version
        // before this field.
        if (!dependencies.isEmpty()) {
            putTexts(json, WireFields.DEPENDENCIES, dependencies);
        }
        return json;
    }

    private static void putTexts(ObjectNode json, String field, List<String> texts) {
        ArrayNode array = json.putArray(field);
        texts.forEach(array::add);
    }

    /** Whether the tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** Whether all tasks must run at the same time. */
    public boolean isGang() {
        return kind == JobKind.GANG;
    }

    /** A copy of this job that is only allowed in one zone. */
    public Submission restrictedToZone(String onlyZone) {
        return allowedOn(machineTypes, onlyZone);
    }

    /** A copy without the allowed machine types, which are not needed once the job has ended. */
    public Submission withoutMachineTypes() {
        return allowedOn(null, zone);
    }

    private Submission allowedOn(List<String> allowedTypes, String allowedZone) {
        return new Submission(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                allowedTypes,
                allowedZone,
                oneZone,
                spread,
                spot,
                estimatedRunSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                deadlineSeconds,
                dependencies);
    }

    /** Maximum number of tasks of the job in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** Whether the tasks save checkpoints, so that a stopped one does not lose all its work. */
    public boolean hasCheckpoints() {
        return checkpointIntervalSeconds > 0;
    }

    private static int taskCount(JsonNode json) throws MalformedMessageException {
        JsonNode count = json.path(WireFields.TASKS);
        boolean inRange =
                count.isIntegralNumber()
                        && count.canConvertToInt()
                        && count.intValue() >= 1
                        && count.intValue() <= MAX_TASKS;
        if (!inRange) {
            throw new MalformedMessageException(
                    WireFields.TASKS + " is not a whole number from 1 to " + MAX_TASKS);
        }
        return count.intValue();
    }

    private static boolean isAbsent(JsonNode json, String field) {
        return isAbsent(json.path(field));
    }

    private static boolean isAbsent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static String text(JsonNode json, String field) throws MalformedMessageException {
        JsonNode node = json.path(field);
        if (!node.isTextual()
                || node.textValue().isEmpty()
                || node.textValue().length() > MAX_TEXT_LENGTH) {
            throw new MalformedMessageException(
                    field + " is not a text of 1 to " + MAX_TEXT_LENGTH + " characters");
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

    private static List<String> machineTypes(JsonNode node) throws MalformedMessageException {
        if (isAbsent(node)) {
            return null;
        }
        if (!node.isArray()) {
            throw new MalformedMessageException(WireFields.MACHINE_TYPES + " is not a list");
        }
        List<String> types = new ArrayList<>();
        for (JsonNode type : node) {
            if (!type.isTextual()) {
                throw new MalformedMessageException(
                        WireFields.MACHINE_TYPES + " holds something that is not a text");
            }
            types.add(type.textValue());
        }
        return List.copyOf(types);
    }

    /** Parses the dependencies and removes duplicates. */
    private static List<String> dependencies(JsonNode node, String self)
            throws MalformedMessageException {
        if (isAbsent(node)) {
            return List.of();
        }
        if (!node.isArray()) {
            throw new MalformedMessageException(WireFields.DEPENDENCIES + " is not a list");
        }
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : node) {
            if (!id.isTextual() || !isValidId(id.textValue())) {
                throw new MalformedMessageException(
                        WireFields.DEPENDENCIES + " holds something that is no job's id");
            }
            if (id.textValue().equals(self)) {
                throw new MalformedMessageException(
                        WireFields.DEPENDENCIES + " names the job itself");
            }
            ids.add(id.textValue());
        }
        return List.copyOf(ids);
    }
}
