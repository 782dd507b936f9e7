package org.springmill.control.borrowing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.control.storage.CompletedTasks;
import org.springmill.protocol.Json;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;

/**
 * The stored form of recalls. A record's key is {@code recall/<round>}, padded with zeros so that
 * keys sort by round. Its value is a JSON object with the format version and an array of recalls,
 * some of which may be of earlier rounds.
 *
 * <p>A recall is an array of its own key, its round, machine, beneficiary, CPUs, GPUs, memory, end
 * of the grace period and victims. The victims are a flat array in which the id of a job and a
 * piece of its task numbers, in the form of {@link CompletedTasks}, alternate. The id is repeated
 * for each piece.
 */
final class RecallCodec {
    static final String PREFIX = "recall/";

    private static final int FORMAT_VERSION = 1;
    private static final String RECALLS = "recalls";
    private static final int MAX_PIECE_CHARACTERS = 1024;

    private static final int KEY = 0;
    private static final int ROUND = 1;
    private static final int MACHINE = 2;
    private static final int BENEFICIARY = 3;
    private static final int CPUS = 4;
    private static final int GPUS = 5;
    private static final int MEMORY = 6;
    private static final int GRACE_ENDS_AT = 7;
    private static final int VICTIMS = 8;

    private RecallCodec() {}

    static String key(long round) {
        return String.format("%s%015d", PREFIX, round);
    }

    /** Bytes that a recall takes in a value, including the comma after it. */
    static int bytes(Recall recall) {
        return encode(recall).toString().length() + 1;
    }

    static ObjectNode encode(List<Recall> recalls) {
        ObjectNode value = Json.newObject().put("v", FORMAT_VERSION);
        ArrayNode array = value.putArray(RECALLS);
        recalls.forEach(recall -> array.add(encode(recall)));
        return value;
    }

    private static ArrayNode encode(Recall recall) {
        ArrayNode fields = Json.newObject().arrayNode();
        fields.add(recall.key()).add(recall.round()).add(recall.machine());
        fields.add(recall.beneficiary());
        fields.add(recall.amount().cpus());
        fields.add(recall.amount().gpus());
        fields.add(recall.amount().memoryGb());
        fields.add(recall.graceEndsAt());
        ArrayNode victims = fields.addArray();
        tasksByJob(recall.victims())
                .forEach(
                        (job, tasks) ->
                                CompletedTasks.encode(tasks, MAX_PIECE_CHARACTERS)
                                        .forEach(piece -> victims.add(job).add(piece)));
        return fields;
    }

    private static Map<String, BitSet> tasksByJob(List<TaskId> victims) {
        Map<String, BitSet> tasks = new TreeMap<>();
        victims.forEach(
                task -> tasks.computeIfAbsent(task.job(), j -> new BitSet()).set(task.index()));
        return tasks;
    }

    static List<Recall> decode(JsonNode value) {
        List<Recall> recalls = new ArrayList<>();
        value.path(RECALLS).forEach(fields -> recalls.add(decodeRecall(fields)));
        return recalls;
    }

    private static Recall decodeRecall(JsonNode fields) {
        Resources amount =
                new Resources(
                        fields.path(CPUS).asDouble(),
                        fields.path(GPUS).asDouble(),
                        fields.path(MEMORY).asDouble());
        return new Recall(
                fields.path(KEY).asText(),
                fields.path(ROUND).longValue(),
                fields.path(MACHINE).asText(),
                fields.path(BENEFICIARY).asText(),
                amount,
                decodeVictims(fields.path(VICTIMS)),
                fields.path(GRACE_ENDS_AT).asDouble());
    }

    private static List<TaskId> decodeVictims(JsonNode array) {
        List<TaskId> victims = new ArrayList<>();
        for (int i = 0; i + 1 < array.size(); i += 2) {
            String job = array.path(i).asText();
            BitSet tasks = new BitSet();
            CompletedTasks.decode(array.path(i + 1).asText(), tasks);
            tasks.stream().forEach(task -> victims.add(new TaskId(job, task)));
        }
        return victims;
    }
}
