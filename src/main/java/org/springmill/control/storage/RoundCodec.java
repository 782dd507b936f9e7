package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.Json;
import org.springmill.protocol.TaskId;

/**
 * The stored form of rounds. A key is {@code round/<number>.<part>}, padded with zeros so that keys
 * sort by number. A value is a JSON object; empty fields are left out:
 *
 * <ul>
 *   <li>{@code claims}: job, task index, machine and key of each claim, followed by its round if
 *       that is not the round of the value
 *   <li>{@code ended}: keys of claims that have ended
 *   <li>{@code done}: jobs with pieces of their completed task sets, see {@link CompletedTasks}
 * </ul>
 */
final class RoundCodec {
    static final String PREFIX = "round/";

    /** Key of the record that is written with the first round of an empty log. */
    static final String LOG_START_KEY = "round-log";

    /** Share of the value limit that is filled; the rest is for punctuation that isn't counted. */
    static final double FILL_RATIO = 0.9;

    private static final int FORMAT_VERSION = 1;
    private static final String CLAIMS = "claims";
    private static final String ENDED = "ended";
    private static final String COMPLETED = "done";

    private static final int CLAIM_JOB_INDEX = 0;
    private static final int CLAIM_TASK_INDEX = 1;
    private static final int CLAIM_MACHINE_INDEX = 2;
    private static final int CLAIM_KEY_INDEX = 3;

    /** Present only in a claim that was carried forward from an earlier round. */
    private static final int CLAIM_ROUND_INDEX = 4;

    private static final int COMPLETED_JOB_INDEX = 0;
    private static final int COMPLETED_PIECE_INDEX = 1;

    /** Estimated bytes of the task index, round, quotes and commas of one claim. */
    private static final int CLAIM_OVERHEAD_BYTES = 44;

    private static final int END_OVERHEAD_BYTES = 3;
    private static final int COMPLETED_OVERHEAD_BYTES = 7;

    private RoundCodec() {}

    /** The content of one stored value. */
    record RoundValue(List<Claim> claims, List<String> ended, Map<String, BitSet> completed) {}

    static String key(long number, int part) {
        return String.format("%s%015d.%02d", PREFIX, number, part);
    }

    /** The number of the round to which a key belongs. */
    static long number(String key) {
        int dot = key.lastIndexOf('.');
        return Long.parseLong(key, PREFIX.length(), dot, 10);
    }

    static ObjectNode emptyValue() {
        return Json.newObject().put("v", FORMAT_VERSION);
    }

    /**
     * Adds a claim to a value.
     *
     * @param round number of the round to which the value belongs
     */
    static void addClaim(ObjectNode value, Claim claim, long round) {
        ArrayNode fields = value.withArray(CLAIMS).addArray();
        fields.add(claim.task().job());
        fields.add(claim.task().index());
        fields.add(claim.machine());
        fields.add(claim.key());
        if (claim.round() != round) {
            fields.add(claim.round());
        }
    }

    static void addEnd(ObjectNode value, String claimKey) {
        value.withArray(ENDED).add(claimKey);
    }

    static void addCompleted(ObjectNode value, String job, String piece) {
        value.withArray(COMPLETED).addArray().add(job).add(piece);
    }

    /** Bytes that a claim takes in a value, with an allowance for its numbers and punctuation. */
    static int bytes(Claim claim) {
        return claim.task().job().length()
                + claim.machine().length()
                + claim.key().length()
                + CLAIM_OVERHEAD_BYTES;
    }

    static int endBytes(String claimKey) {
        return claimKey.length() + END_OVERHEAD_BYTES;
    }

    static int completedBytes(String job, String piece) {
        return job.length() + piece.length() + COMPLETED_OVERHEAD_BYTES;
    }

    /**
     * Reads a value.
     *
     * @param round number of the round to which the value belongs
     */
    static RoundValue decode(JsonNode value, long round) {
        List<Claim> claims = new ArrayList<>();
        value.path(CLAIMS).forEach(fields -> claims.add(decodeClaim(fields, round)));
        List<String> ended = new ArrayList<>();
        value.path(ENDED).forEach(claimKey -> ended.add(claimKey.asText()));
        Map<String, BitSet> completed = new LinkedHashMap<>();
        for (JsonNode fields : value.path(COMPLETED)) {
            String job = fields.path(COMPLETED_JOB_INDEX).asText();
            String piece = fields.path(COMPLETED_PIECE_INDEX).asText();
            CompletedTasks.decode(piece, completed.computeIfAbsent(job, j -> new BitSet()));
        }
        return new RoundValue(claims, ended, completed);
    }

    private static Claim decodeClaim(JsonNode fields, long round) {
        boolean carriedForward = fields.size() > CLAIM_ROUND_INDEX;
        String job = fields.path(CLAIM_JOB_INDEX).asText();
        TaskId task = new TaskId(job, fields.path(CLAIM_TASK_INDEX).asInt());
        String machine = fields.path(CLAIM_MACHINE_INDEX).asText();
        String claimKey = claimKey(fields);
        long claimRound = carriedForward ? fields.path(CLAIM_ROUND_INDEX).longValue() : round;
        return new Claim(claimKey, task, machine, claimRound);
    }

    private static String claimKey(JsonNode fields) {
        return fields.path(CLAIM_KEY_INDEX).asText();
    }

    /** Keys of the claims in a value, then of the ended claims; different rounds differ in them. */
    static List<String> claimKeys(JsonNode value) {
        List<String> claimKeys = new ArrayList<>();
        value.path(CLAIMS).forEach(fields -> claimKeys.add(claimKey(fields)));
        value.path(ENDED).forEach(claimKey -> claimKeys.add(claimKey.asText()));
        return claimKeys;
    }
}
