package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and the key-value store. Unknown fields are ignored. */
public final class KeyValueStoreMessages {
    /** Path to which transactions are posted. */
    public static final String COMMIT_PATH = "/commit";

    /** Path of leases; posting to it requests one. */
    public static final String LEASES_PATH = "/grants";

    private static final String KEYS_PATH = "/store";
    private static final String WATCHES_PATH = "/changes";

    /** The error of a write that names a lease which has expired. */
    private static final String LEASE_EXPIRED = "no such lease";

    /**
     * Maximum number of keys on one page. Pages are small so that decoding one does not delay the
     * responses to workers of a controller that has just started.
     */
    private static final int PAGE_LIMIT = 100;

    private KeyValueStoreMessages() {}

    /**
     * A key with its value.
     *
     * @param key of the entry
     * @param value of the key
     * @param version revision of the key's last change
     * @param lease id of the lease that the key is attached to; 0 for none
     */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    /**
     * One page of a read of several keys.
     *
     * @param entries of this page, ordered by key
     * @param more whether further keys follow
     * @param revision of the store when the page was read
     */
    public record Page(List<Entry> entries, boolean more, long revision) {}

    /**
     * One change of a key.
     *
     * @param key that has changed
     * @param value its new value; null if it was deleted
     * @param version revision of the change
     */
    public record Change(String key, JsonNode value, long version) {}

    /**
     * Changes in the order of their revisions.
     *
     * @param changes oldest first
     * @param revision up to which the changes are complete
     */
    public record Changes(List<Change> changes, long revision) {}

    /**
     * A condition of a transaction, as for a compare-and-swap.
     *
     * @param key to compare
     * @param version that the key must have; 0 if it must not exist
     */
    public record Condition(String key, long version) {}

    /**
     * One write of a transaction.
     *
     * @param key to write
     * @param value its new value; null to delete it
     * @param lease id of the lease that the key is attached to; 0 for none
     */
    public record Write(String key, JsonNode value, long lease) {
        /** A put of a key that is attached to no lease. */
        public static Write put(String key, JsonNode value) {
            return new Write(key, value, 0);
        }

        /** A deletion of a key. */
        public static Write delete(String key) {
            return new Write(key, null, 0);
        }
    }

    /** Path of a key. */
    public static String keyPath(String key) {
        return KEYS_PATH + "/" + key;
    }

    /**
     * Path of one page of a read of all keys with a prefix.
     *
     * @param prefix that the keys begin with
     * @param after the key after which the page begins; null for the first page
     */
    public static String listPath(String prefix, String after) {
        return KEYS_PATH
                + "?under="
                + prefix
                + (after == null ? "" : "&from=" + after)
                + "&limit="
                + PAGE_LIMIT;
    }

    /**
     * Path of a watch on all keys with a prefix.
     *
     * @param prefix that the keys begin with
     * @param from revision after which changes are returned
     * @param waitMs time to wait for a change, in milliseconds
     */
    public static String watchPath(String prefix, long from, long waitMs) {
        return WATCHES_PATH + "?under=" + prefix + "&from=" + from + "&waitMs=" + waitMs;
    }

    /** Path to which the renewal of a lease is posted. */
    public static String renewPath(long lease) {
        return leasePath(lease) + "/touch";
    }

    /** Path of a lease; deleting it revokes the lease. */
    public static String leasePath(long lease) {
        return LEASES_PATH + "/" + lease;
    }

    /**
     * Encodes a request for a lease.
     *
     * @param ttlMs time to live, in milliseconds
     */
    public static byte[] encodeLeaseRequest(long ttlMs) {
        return Json.write(
                json -> json.writeNumberField(WireFields.TIME_TO_LIVE_MILLISECONDS, ttlMs));
    }

    /**
     * Decodes the id of a lease that was granted.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static long decodeLease(byte[] body) throws MalformedMessageException {
        return Json.object(body).path(WireFields.LEASE).longValue();
    }

    /**
     * Encodes a transaction: if all conditions hold, all writes are applied at one revision;
     * otherwise none is.
     */
    public static byte[] encodeTransaction(List<Condition> conditions, List<Write> writes) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.CONDITIONS);
                    for (Condition condition : conditions) {
                        writeCondition(json, condition);
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart(WireFields.WRITES);
                    for (Write write : writes) {
                        writeWrite(json, write);
                    }
                    json.writeEndArray();
                });
    }

    private static void writeCondition(JsonGenerator json, Condition condition) throws IOException {
        json.writeStartObject();
        json.writeStringField(WireFields.KEY, condition.key());
        json.writeNumberField(WireFields.VERSION, condition.version());
        json.writeEndObject();
    }

    private static void writeWrite(JsonGenerator json, Write write) throws IOException {
        json.writeStartObject();
        if (write.value() == null) {
            json.writeStringField(WireFields.DELETE, write.key());
        } else {
            json.writeStringField(WireFields.PUT, write.key());
            json.writeFieldName(WireFields.VALUE);
            json.writeRawValue(new String(Json.bytes(write.value()), StandardCharsets.UTF_8));
            if (write.lease() != 0) {
                json.writeNumberField(WireFields.LEASE, write.lease());
            }
        }
        json.writeEndObject();
    }

    /**
     * Decodes the revision of the store, which most of its responses carry.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static long decodeRevision(byte[] body) throws MalformedMessageException {
        return Json.object(body).path(WireFields.REVISION).longValue();
    }

    /**
     * Whether a transaction was refused because a lease has expired, rather than for its form or
     * size.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static boolean isLeaseExpired(byte[] body) throws MalformedMessageException {
        return Json.object(body).path(WireFields.ERROR).asText().equals(LEASE_EXPIRED);
    }

    /**
     * Decodes the keys whose conditions did not hold.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static List<String> decodeFailedKeys(byte[] body) throws MalformedMessageException {
        List<String> keys = new ArrayList<>();
        Json.object(body).path(WireFields.FAILED_KEYS).forEach(key -> keys.add(key.asText()));
        return keys;
    }

    /**
     * Decodes the response to a read of one key.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static Entry decodeEntry(byte[] body) throws MalformedMessageException {
        return decodeEntry(Json.object(body));
    }

    /**
     * Decodes the response to a read of several keys.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static Page decodePage(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Entry> entries = new ArrayList<>();
        for (JsonNode entry : json.path(WireFields.ENTRIES)) {
            entries.add(decodeEntry(entry));
        }
        return new Page(
                entries,
                json.path(WireFields.TRUNCATED).asBoolean(),
                json.path(WireFields.REVISION).longValue());
    }

    /**
     * Decodes the response to a watch.
     *
     * @throws MalformedMessageException if the response is not a JSON object
     */
    public static Changes decodeChanges(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Change> changes = new ArrayList<>();
        for (JsonNode change : json.path(WireFields.CHANGES)) {
            changes.add(decodeChange(change));
        }
        return new Changes(changes, json.path(WireFields.REVISION).longValue());
    }

    private static Change decodeChange(JsonNode json) {
        boolean put = json.has(WireFields.PUT);
        return new Change(
                json.path(put ? WireFields.PUT : WireFields.DELETE).asText(),
                put ? json.path(WireFields.VALUE) : null,
                json.path(WireFields.VERSION).longValue());
    }

    private static Entry decodeEntry(JsonNode json) {
        return new Entry(
                json.path(WireFields.KEY).asText(),
                json.path(WireFields.VALUE),
                json.path(WireFields.VERSION).longValue(),
                json.path(WireFields.LEASE).longValue());
    }
}
