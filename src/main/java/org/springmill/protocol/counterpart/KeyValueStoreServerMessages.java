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

/** Requests to the key-value store as it reads them, and its answers. */
public final class KeyValueStoreServerMessages {
    private static final String STORE = "/store";
    private static final String CHANGES = "/changes";
    private static final int DEFAULT_LIMIT = 1000;
    private static final double MS_PER_SECOND = 1000;

    private KeyValueStoreServerMessages() {}

    /** Any request. */
    public sealed interface StateRequest {}

    /** Reads one key. */
    public record Get(String key) implements StateRequest {}

    /** Reads all keys with a prefix that come after another one, up to a number. */
    public record ListKeys(String prefix, String after, int limit) implements StateRequest {}

    /** Waits for changes of keys with a prefix. */
    public record Watch(String prefix, long from, double waitSeconds) implements StateRequest {}

    /**
     * A transaction.
     *
     * @param bytes its length on the wire
     */
    public record Commit(List<Condition> conditions, List<Write> writes, int bytes)
            implements StateRequest {}

    /** Asks for a lease. */
    public record Grant(double ttlSeconds) implements StateRequest {}

    /** Renews a lease. */
    public record Renew(long lease) implements StateRequest {}

    /** Ends a lease. */
    public record Revoke(long lease) implements StateRequest {}

    /**
     * Reads a request.
     *
     * @param target path and query
     */
    public static StateRequest request(String method, String target, byte[] body)
            throws MalformedMessageException {
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = mark < 0 ? Map.of() : query(target.substring(mark + 1));
        if (path.equals(KeyValueStoreMessages.COMMIT)) {
            return commit(body);
        }
        if (path.equals(KeyValueStoreMessages.LEASES)) {
            return new Grant(Json.object(body).path("ttlMs").asDouble() / MS_PER_SECOND);
        }
        if (path.startsWith(KeyValueStoreMessages.LEASES + "/")) {
            long lease = Long.parseLong(path.split("/")[2]);
            return method.equals("DELETE") ? new Revoke(lease) : new Renew(lease);
        }
        if (path.equals(CHANGES)) {
            double waitMs = Double.parseDouble(query.getOrDefault("waitMs", "0"));
            long from = Long.parseLong(query.get("from"));
            return new Watch(query.get("under"), from, waitMs / MS_PER_SECOND);
        }
        if (path.equals(STORE)) {
            String limit = query.getOrDefault("limit", Integer.toString(DEFAULT_LIMIT));
            String after = query.getOrDefault("from", "");
            return new ListKeys(query.get("under"), after, Integer.parseInt(limit));
        }
        if (path.startsWith(STORE + "/")) {
            return new Get(path.substring(STORE.length() + 1));
        }
        throw new MalformedMessageException("no such path");
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    private static Commit commit(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<Condition> conditions = new ArrayList<>();
        for (JsonNode condition : json.path("when")) {
            conditions.add(
                    new Condition(
                            condition.path("key").asText(), condition.path("stamp").asLong()));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : json.path("writes")) {
            writes.add(
                    write.has("delete")
                            ? Write.delete(write.path("delete").asText())
                            : new Write(
                                    write.path("write").asText(),
                                    write.path("value"),
                                    write.path("tenancy").asLong()));
        }
        return new Commit(conditions, writes, body.length);
    }

    /** An answer that holds no more than the revision. */
    public static byte[] revision(long revision) {
        return Json.write(json -> json.writeNumberField("ledgerRev", revision));
    }

    /** The answer to a transaction of which conditions did not hold. */
    public static byte[] failed(List<String> keys, long revision) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("failed");
                    for (String key : keys) {
                        json.writeString(key);
                    }
                    json.writeEndArray();
                    json.writeNumberField("ledgerRev", revision);
                });
    }

    /** The answer to a request for a lease. */
    public static byte[] granted(long lease) {
        return Json.write(json -> json.writeNumberField("tenancy", lease));
    }

    /** The error of a write that names a lease which has ended. */
    public static byte[] noSuchLease() {
        return error("no such lease");
    }

    public static byte[] error(String text) {
        return Json.write(json -> json.writeStringField("error", text));
    }

    /** The answer to a read of one key. */
    public static byte[] entry(Entry entry) {
        return Json.write(json -> writeEntry(json, entry));
    }

    /** The answer to a read of several keys. */
    public static byte[] page(List<Entry> entries, boolean more, long revision) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("pairs");
                    for (Entry entry : entries) {
                        json.writeStartObject();
                        writeEntry(json, entry);
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeBooleanField("truncated", more);
                    json.writeNumberField("ledgerRev", revision);
                });
    }

    private static void writeEntry(JsonGenerator json, Entry entry) throws IOException {
        json.writeStringField("key", entry.key());
        writeValue(json, entry.value());
        json.writeNumberField("stamp", entry.version());
        if (entry.lease() != 0) {
            json.writeNumberField("tenancy", entry.lease());
        }
    }

    private static void writeValue(JsonGenerator json, JsonNode value) throws IOException {
        json.writeFieldName("value");
        json.writeRawValue(new String(Json.bytes(value), StandardCharsets.UTF_8));
    }

    /** The answer to a watch. */
    public static byte[] changes(List<Change> changes, long revision) {
        return Json.write(
                json -> {
                    json.writeNumberField("ledgerRev", revision);
                    json.writeArrayFieldStart("news");
                    for (Change change : changes) {
                        json.writeStartObject();
                        if (change.value() == null) {
                            json.writeStringField("delete", change.key());
                        } else {
                            json.writeStringField("write", change.key());
                            writeValue(json, change.value());
                        }
                        json.writeNumberField("stamp", change.version());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }
}
