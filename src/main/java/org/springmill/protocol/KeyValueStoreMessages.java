package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and the key-value store. */
public final class KeyValueStoreMessages {
    /** Path of transactions. */
    public static final String COMMIT = "/commit";

    /** Path of leases. */
    public static final String LEASES = "/grants";

    private KeyValueStoreMessages() {}

    /**
     * A key with its value.
     *
     * @param version revision of the key's last change
     * @param lease to which the key is attached; 0 for none
     */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    /**
     * One page of a read of several keys.
     *
     * @param more whether further keys follow
     * @param revision of the key-value store as the page was read
     */
    public record Page(List<Entry> entries, boolean more, long revision) {}

    /**
     * One change of a key.
     *
     * @param value null for a deletion
     */
    public record Change(String key, JsonNode value, long version) {}

    /**
     * Changes in their order.
     *
     * @param revision up to which they are complete
     */
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
        /** Writes a value that is attached to no lease. */
        public static Write put(String key, JsonNode value) {
            return new Write(key, value, 0);
        }

        /** Deletes a key. */
        public static Write delete(String key) {
            return new Write(key, null, 0);
        }
    }

    /** Path of a key. */
    public static String keyPath(String key) {
        return "/store/" + key;
    }

    /**
     * Small pages: reading one must not keep a controller that has just started from answering
     * workers.
     */
    private static final int PAGE = 100;

    /**
     * Path of a read of all keys with a prefix.
     *
     * @param after the key after which the page begins; null for the first page
     */
    public static String listPath(String prefix, String after) {
        return "/store?under="
                + prefix
                + (after == null ? "" : "&from=" + after)
                + "&limit="
                + PAGE;
    }

    /** Path of a watch on all keys with a prefix, for changes after a revision. */
    public static String changesPath(String prefix, long from, long waitMs) {
        return "/changes?under=" + prefix + "&from=" + from + "&waitMs=" + waitMs;
    }

    /** Path of the renewal of a lease. */
    public static String renewPath(long lease) {
        return LEASES + "/" + lease + "/touch";
    }

    /** Path of a lease. */
    public static String leasePath(long lease) {
        return LEASES + "/" + lease;
    }

    /** A request for a lease. */
    public static byte[] grant(long ttlMs) {
        return Json.write(json -> json.writeNumberField("ttlMs", ttlMs));
    }

    /** The lease that was granted. */
    public static long granted(byte[] body) throws MalformedMessageException {
        return Json.object(body).path("tenancy").longValue();
    }

    /** A transaction: all writes are applied if all conditions hold. */
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

    /** The revision of the key-value store, which most of its answers hold. */
    public static long revision(byte[] body) throws MalformedMessageException {
        return Json.object(body).path("ledgerRev").longValue();
    }

    /**
     * Whether a transaction was refused for a lease that has ended, rather than for its form or
     * size.
     */
    public static boolean leaseEnded(byte[] body) throws MalformedMessageException {
        return Json.object(body).path("error").asText().equals("no such lease");
    }

    /** The keys whose conditions did not hold. */
    public static List<String> failed(byte[] body) throws MalformedMessageException {
        List<String> keys = new ArrayList<>();
        Json.object(body).path("failed").forEach(k -> keys.add(k.asText()));
        return keys;
    }

    /** The answer to a read of one key. */
    public static Entry entry(byte[] body) throws MalformedMessageException {
        return entry(Json.object(body));
    }

    /** The answer to a read of several keys. */
    public static Page page(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : json.path("pairs")) {
            entries.add(entry(e));
        }
        return new Page(
                entries, json.path("truncated").asBoolean(), json.path("ledgerRev").longValue());
    }

    /** The answer to a watch. */
    public static Changes changes(byte[] body) throws MalformedMessageException {
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
