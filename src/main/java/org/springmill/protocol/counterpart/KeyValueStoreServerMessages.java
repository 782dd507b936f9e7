package org.springmill.protocol.counterpart;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.WireFields;

/** The store's side of {@link KeyValueStoreMessages}: decodes requests, encodes responses. */
public final class KeyValueStoreServerMessages {
    private static final String KEYS_PATH = "/store";
    private static final String WATCHES_PATH = "/changes";
    private static final int DEFAULT_LIMIT = 1000;
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final String PREFIX_PARAMETER = "under";
    private static final String START_PARAMETER = "from";

    private KeyValueStoreServerMessages() {}

    /** A request of any kind. */
    public sealed interface StoreRequest {}

    /**
     * Reads one key.
     *
     * @param key to read
     */
    public record Get(String key) implements StoreRequest {}

    /**
     * Reads one page of the keys with a prefix.
     *
     * @param prefix that the keys begin with
     * @param after the key after which the page begins; empty for the first page
     * @param limit the most keys on the page
     */
    public record ListKeys(String prefix, String after, int limit) implements StoreRequest {}

    /**
     * Waits for changes of keys with a prefix.
     *
     * @param prefix that the keys begin with
     * @param from revision after which changes are returned
     * @param waitSeconds the longest wait
     */
    public record Watch(String prefix, long from, double waitSeconds) implements StoreRequest {}

    /**
     * A transaction.
     *
     * @param conditions that must all hold
     * @param writes to apply at one revision
     * @param bytes its size on the wire
     */
    public record Commit(List<Condition> conditions, List<Write> writes, int bytes)
            implements StoreRequest {}

    /**
     * Requests a lease.
     *
     * @param ttlSeconds its time to live
     */
    public record Grant(double ttlSeconds) implements StoreRequest {}

    /**
     * Renews a lease.
     *
     * @param lease id of the lease
     */
    public record Renew(long lease) implements StoreRequest {}

    /**
     * Revokes a lease.
     *
     * @param lease id of the lease
     */
    public record Revoke(long lease) implements StoreRequest {}

    /**
     * Decodes a request.
     *
     * @param method HTTP method
     * @param target path and query
     * @throws MalformedMessageException if the path is unknown or the body is not a JSON object
     */
    public static StoreRequest decodeRequest(String method, String target, byte[] body)
            throws MalformedMessageException {
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        Map<String, String> query =
                queryStart < 0 ? Map.of() : parseQuery(target.substring(queryStart + 1));
        if (path.equals(KeyValueStoreMessages.COMMIT_PATH)) {
            return decodeCommit(body);
        }
        if (path.equals(KeyValueStoreMessages.LEASES_PATH)) {
            return new Grant(
                    Json.object(body).path(WireFields.TIME_TO_LIVE_MILLISECONDS).asDouble()
                            / MILLISECONDS_PER_SECOND);
        }
        if (path.startsWith(KeyValueStoreMessages.LEASES_PATH + "/")) {
            long lease = Long.parseLong(path.split("/")[2]);
            return method.equals("DELETE") ? new Revoke(lease) : new Renew(lease);
        }
        if (path.equals(WATCHES_PATH)) {
            double waitMs = Double.parseDouble(query.getOrDefault("waitMs", "0"));
            long from = Long.parseLong(query.get(START_PARAMETER));
            return new Watch(query.get(PREFIX_PARAMETER), from, waitMs / MILLISECONDS_PER_SECOND);
        }
        if (path.equals(KEYS_PATH)) {
            String limit = query.getOrDefault("limit", Integer.toString(DEFAULT_LIMIT));
            String after = query.getOrDefault(START_PARAMETER, "");
            return new ListKeys(query.get(PREFIX_PARAMETER), after, Integer.parseInt(limit));
        }
        if (path.startsWith(KEYS_PATH + "/")) {
            return new Get(path.substring(KEYS_PATH.length() + 1));
        }
        throw new MalformedMessageException("no such path");
    }

    private static Map<String, String> parseQuery(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    private static Commit decodeCommit(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Condition> conditions = new ArrayList<>();
        for (JsonNode condition : json.path(WireFields.CONDITIONS)) {
            conditions.add(decodeCondition(condition));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : json.path(WireFields.WRITES)) {
            writes.add(decodeWrite(write));
        }
        return new Commit(conditions, writes, body.length);
    }

    private static Condition decodeCondition(JsonNode json) {
        return new Condition(
                json.path(WireFields.KEY).asText(), json.path(WireFields.VERSION).asLong());
    }

    private static Write decodeWrite(JsonNode json) {
        if (json.has(WireFields.DELETE)) {
            return Write.delete(json.path(WireFields.DELETE).asText());
        }
        return new Write(
                json.path(WireFields.PUT).asText(),
                json.path(WireFields.VALUE),
                json.path(WireFields.LEASE).asLong());
    }

    /** Encodes a response that carries nothing but the revision of the store. */
    public static byte[] encodeRevision(long revision) {
        return Json.write(json -> json.writeNumberField(WireFields.REVISION, revision));
    }

    /**
     * Encodes the response to a transaction whose conditions did not all hold.
     *
     * @param keys those whose conditions did not hold
     * @param revision of the store
     */
    public static byte[] encodeFailedConditions(List<String> keys, long revision) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.FAILED_KEYS);
                    for (String key : keys) {
                        json.writeString(key);
                    }
                    json.writeEndArray();
                    json.writeNumberField(WireFields.REVISION, revision);
                });
    }

    /** Encodes the response to a request for a lease: its id. */
    public static byte[] encodeLease(long lease) {
        return Json.write(json -> json.writeNumberField(WireFields.LEASE, lease));
    }

    /** Encodes the error of a write that names a lease which has expired. */
    public static byte[] encodeLeaseExpired() {
        return encodeError("no such lease");
    }

    /** Encodes an error. */
    public static byte[] encodeError(String text) {
        return Json.write(json -> json.writeStringField(WireFields.ERROR, text));
    }

    /** Encodes the response to a read of one key. */
    public static byte[] encodeEntry(Entry entry) {
        return Json.write(json -> writeEntry(json, entry));
    }

    /**
     * Encodes the response to a read of several keys.
     *
     * @param more whether further pages follow
     * @param revision of the store
     */
    public static byte[] encodePage(List<Entry> entries, boolean more, long revision) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.ENTRIES);
                    for (Entry entry : entries) {
                        json.writeStartObject();
                        writeEntry(json, entry);
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeBooleanField(WireFields.TRUNCATED, more);
                    json.writeNumberField(WireFields.REVISION, revision);
                });
    }

    private static void writeEntry(JsonGenerator json, Entry entry) throws IOException {
        json.writeStringField(WireFields.KEY, entry.key());
        writeValue(json, entry.value());
        json.writeNumberField(WireFields.VERSION, entry.version());
        if (entry.lease() != 0) {
            json.writeNumberField(WireFields.LEASE, entry.lease());
        }
    }

    private static void writeValue(JsonGenerator json, JsonNode value) throws IOException {
        json.writeFieldName(WireFields.VALUE);
        json.writeRawValue(new String(Json.bytes(value), StandardCharsets.UTF_8));
    }

    /**
     * Encodes the response to a watch.
     *
     * @param revision up to which the changes are complete
     */
    public static byte[] encodeChanges(List<Change> changes, long revision) {
        return Json.write(
                json -> {
                    json.writeNumberField(WireFields.REVISION, revision);
                    json.writeArrayFieldStart(WireFields.CHANGES);
                    for (Change change : changes) {
                        writeChange(json, change);
                    }
                    json.writeEndArray();
                });
    }

    private static void writeChange(JsonGenerator json, Change change) throws IOException {
        json.writeStartObject();
        if (change.value() == null) {
            json.writeStringField(WireFields.DELETE, change.key());
        } else {
            json.writeStringField(WireFields.PUT, change.key());
            writeValue(json, change.value());
        }
        json.writeNumberField(WireFields.VERSION, change.version());
        json.writeEndObject();
    }
}
