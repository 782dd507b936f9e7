package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and the state service. */
public final class StateMessages {
    public static final String COMMIT = "/commit";
    public static final String LEASES = "/grants";

    private StateMessages() {}

    /** A key with its value and the revision of its last change. */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    public record Page(List<Entry> entries, boolean more, long revision) {}

    /**
     * One change of a key.
     *
     * @param value null for a deletion
     */
    public record Change(String key, JsonNode value, long version) {}

    public record Changes(List<Change> changes, long revision) {}

    /** Version that a key must have; 0 if it must not exist. */
    public record Condition(String key, long version) {}

    /**
     * One write of a transaction.
     *
     * @param value null to delete
     * @param lease 0 for none
     */
    public record Write(String key, JsonNode value, long lease) {
        public static Write put(String key, JsonNode value) {
            return new Write(key, value, 0);
        }

        public static Write delete(String key) {
            return new Write(key, null, 0);
        }
    }

    public static String keyPath(String key) {
        return "/store/" + key;
    }

    /**
     * Small pages: reading one must not keep a controller that has just started from answering
     * workers.
     */
    private static final int PAGE = 100;

    public static String listPath(String prefix, String after) {
        return "/store?under="
                + prefix
                + (after == null ? "" : "&from=" + after)
                + "&limit="
                + PAGE;
    }

    public static String changesPath(String prefix, long from, long waitMs) {
        return "/changes?under=" + prefix + "&from=" + from + "&waitMs=" + waitMs;
    }

    public static String renewPath(long lease) {
        return LEASES + "/" + lease + "/touch";
    }

    public static String leasePath(long lease) {
        return LEASES + "/" + lease;
    }

    public static byte[] grant(long ttlMs) {
        return Json.write(json -> json.writeNumberField("ttlMs", ttlMs));
    }

    public static long granted(byte[] body) throws BadMessageException {
        return Json.object(body).path("tenancy").longValue();
    }

    public static byte[] commit(List<Condition> conditions, List<Write> writes) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("when");
                    for (Condition c : conditions) {
                        json.writeStartObject();
                        json.writeStringField("key", c.key());
                        json.writeNumberField("stamp", c.version());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("writes");
                    for (Write w : writes) {
                        json.writeStartObject();
                        if (w.value() == null) {
                            json.writeStringField("delete", w.key());
                        } else {
                            json.writeStringField("write", w.key());
                            json.writeFieldName("value");
                            json.writeRawValue(
                                    new String(
                                            Json.bytes(w.value()),
                                            java.nio.charset.StandardCharsets.UTF_8));
                            if (w.lease() != 0) {
                                json.writeNumberField("tenancy", w.lease());
                            }
                        }
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    public static long revision(byte[] body) throws BadMessageException {
        return Json.object(body).path("ledgerRev").longValue();
    }

    /**
     * Whether a transaction was refused for a lease that has ended, rather than for its form or
     * size.
     */
    public static boolean leaseEnded(byte[] body) throws BadMessageException {
        return Json.object(body).path("error").asText().equals("no such lease");
    }

    /** The keys whose conditions did not hold. */
    public static List<String> failed(byte[] body) throws BadMessageException {
        List<String> keys = new ArrayList<>();
        Json.object(body).path("failed").forEach(k -> keys.add(k.asText()));
        return keys;
    }

    public static Entry entry(byte[] body) throws BadMessageException {
        return entry(Json.object(body));
    }

    public static Page page(byte[] body) throws BadMessageException {
        JsonNode json = Json.object(body);
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : json.path("pairs")) {
            entries.add(entry(e));
        }
        return new Page(
                entries, json.path("truncated").asBoolean(), json.path("ledgerRev").longValue());
    }

    public static Changes changes(byte[] body) throws BadMessageException {
        JsonNode json = Json.object(body);
        List<Change> changes = new ArrayList<>();
        for (JsonNode c : json.path("news")) {
            boolean put = c.has("write");
            changes.add(
                    new Change(
                            c.path(put ? "write" : "delete").asText(),
                            put ? c.path("value") : null,
                            c.path("stamp").longValue()));
        }
        return new Changes(changes, json.path("ledgerRev").longValue());
    }

    private static Entry entry(JsonNode json) {
        return new Entry(
                json.path("key").asText(),
                json.path("value"),
                json.path("stamp").longValue(),
                json.path("tenancy").longValue());
    }
}
