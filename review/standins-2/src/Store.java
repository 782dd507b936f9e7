import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** The state service of PROTOCOL-springmill.md. Each controller reaches it on an address of its own. */
final class Store {
    private static final int CHANGES_KEPT = 10_000;

    record Entry(String key, JsonNode value, long stamp, long tenancy) {}

    record Change(String key, JsonNode value, long stamp) {}

    private static final class Lease {
        final long ttlMs;
        long endsAt;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            endsAt = now() + ttlMs;
        }
    }

    /** Decides whether a request of a node gets 503; called with the store's lock held. */
    interface Trouble {
        boolean refuses(String node, String method, String target);
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = now();
    private long rev = 1;
    private long compacted;
    private long nextLease = 100;
    private boolean down;
    private Trouble trouble = (node, method, target) -> false;

    Store(double rps, double writeRps, int valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        Thread expiry =
                new Thread(
                        () -> {
                            while (true) {
                                Kit.sleep(0.05);
                                expire();
                            }
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized void setTrouble(Trouble newTrouble) {
        trouble = newTrouble;
    }

    /** Answers one node with 503, while the others are served. */
    synchronized void refuse(String node, boolean on) {
        if (on) {
            refused.add(node);
        } else {
            refused.remove(node);
        }
        Kit.record("state service " + (on ? "refuses " : "serves ") + node + " from now on");
        notifyAll();
    }

    /** Begins or ends an outage; after it every lease has its full time again. */
    synchronized void down(boolean on) {
        if (down && !on) {
            leases.values().forEach(lease -> lease.endsAt = now() + lease.ttlMs);
        }
        down = on;
        Kit.record("state service is " + (on ? "down" : "up"));
        notifyAll();
    }

    synchronized JsonNode value(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    synchronized int count(String prefix) {
        return (int) keys.tailMap(prefix).keySet().stream().filter(k -> k.startsWith(prefix)).count();
    }

    synchronized List<String> under(String prefix) {
        return keys.tailMap(prefix).keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    private boolean serves(String node) {
        return !down && !refused.contains(node);
    }

    private synchronized void expire() {
        if (down) {
            return;
        }
        long time = now();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
                (id, lease) -> {
                    if (lease.endsAt < time) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) {
            return;
        }
        List<String> attached = new ArrayList<>();
        keys.values().stream().filter(e -> e.tenancy() == id).forEach(e -> attached.add(e.key()));
        if (!attached.isEmpty()) {
            rev++;
            attached.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            changed(new Change(key, null, rev));
        }
    }

    private void changed(Change change) {
        changes.add(change);
        while (changes.size() > CHANGES_KEPT) {
            compacted = changes.remove(0).stamp();
        }
    }

    private boolean take(int writes) {
        long time = now();
        requestTokens = Math.min(rps, requestTokens + (time - refilledAt) / 1000.0 * rps);
        writeTokens = Math.min(writeRps, writeTokens + (time - refilledAt) / 1000.0 * writeRps);
        refilledAt = time;
        if (requestTokens < 1 || writeTokens < writes) {
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private static ObjectNode revision(long rev) {
        return Kit.object().put("ledgerRev", rev);
    }

    private static ObjectNode error(String text) {
        return Kit.object().put("error", text);
    }

    /** Serves one request of a node. */
    void handle(String node, HttpExchange call, BooleanSupplier cut) throws Exception {
        String method = call.getRequestMethod();
        String path = call.getRequestURI().getPath();
        String query = call.getRequestURI().getRawQuery();
        byte[] body = call.getRequestBody().readAllBytes();
        Kit.Answer answer;
        try {
            answer = answer(node, method, path, query == null ? "" : query, body);
        } catch (RuntimeException e) {
            answer = new Kit.Answer(400, error("malformed: " + e));
        }
        while (cut.getAsBoolean()) {
            Kit.sleep(0.05);
        }
        Kit.reply(call, answer);
    }

    private synchronized Kit.Answer answer(
            String node, String method, String path, String query, byte[] body)
            throws InterruptedException {
        String target = path + (query.isEmpty() ? "" : "?" + query);
        if (!serves(node) || trouble.refuses(node, method, target)) {
            return new Kit.Answer(503, error("trouble"));
        }
        Map<String, String> args = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                args.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        JsonNode json = body.length == 0 ? null : Kit.parse(body);
        int writes = path.equals("/commit") ? json.path("writes").size() : 0;
        if (!take(writes)) {
            return new Kit.Answer(429, error("too many"));
        }
        if (path.equals("/commit")) {
            return commit(json, body.length);
        }
        if (path.equals("/grants")) {
            leases.put(nextLease, new Lease(json.path("ttlMs").asLong()));
            return new Kit.Answer(200, Kit.object().put("tenancy", nextLease++));
        }
        if (path.startsWith("/grants/")) {
            long id = Long.parseLong(path.split("/")[2]);
            Lease lease = leases.get(id);
            if (method.equals("DELETE")) {
                endLease(id);
                return new Kit.Answer(200, revision(rev));
            }
            if (lease == null) {
                return new Kit.Answer(404, revision(rev));
            }
            lease.endsAt = now() + lease.ttlMs;
            return new Kit.Answer(200, revision(rev));
        }
        if (path.equals("/changes")) {
            return changes(
                    node,
                    args.get("under"),
                    Long.parseLong(args.get("from")),
                    Long.parseLong(args.getOrDefault("waitMs", "0")));
        }
        if (path.equals("/store")) {
            return list(
                    args.get("under"),
                    args.getOrDefault("from", ""),
                    Integer.parseInt(args.getOrDefault("limit", "1000")));
        }
        Entry entry = keys.get(path.substring("/store/".length()));
        return entry == null
                ? new Kit.Answer(404, revision(rev))
                : new Kit.Answer(200, encode(entry));
    }

    private static ObjectNode encode(Entry entry) {
        ObjectNode json = Kit.object().put("key", entry.key());
        json.set("value", entry.value());
        json.put("stamp", entry.stamp());
        if (entry.tenancy() != 0) {
            json.put("tenancy", entry.tenancy());
        }
        return json;
    }

    private Kit.Answer list(String under, String from, int limit) {
        ObjectNode json = Kit.object();
        ArrayNode pairs = json.putArray("pairs");
        boolean more = false;
        int bytes = 0;
        for (Entry entry : keys.tailMap(from.isEmpty() ? under : from, from.isEmpty()).values()) {
            if (!entry.key().startsWith(under)) {
                break;
            }
            if (pairs.size() >= Math.min(limit, 1000) || bytes > 500 * 1024) {
                more = true;
                break;
            }
            pairs.add(encode(entry));
            bytes += entry.value().toString().length() + 100;
        }
        json.put("truncated", more).put("ledgerRev", rev);
        return new Kit.Answer(200, json);
    }

    private Kit.Answer changes(String node, String under, long from, long waitMs)
            throws InterruptedException {
        long until = now() + waitMs;
        while (true) {
            if (serves(node)) {
                if (from < compacted) {
                    return new Kit.Answer(410, revision(rev));
                }
                ObjectNode json = revision(rev);
                ArrayNode news = json.putArray("news");
                int first = changes.size();
                while (first > 0 && changes.get(first - 1).stamp() > from) {
                    first--;
                }
                for (Change change : changes.subList(first, changes.size())) {
                    if (change.key().startsWith(under)) {
                        ObjectNode item = news.addObject();
                        if (change.value() == null) {
                            item.put("delete", change.key());
                        } else {
                            item.put("write", change.key());
                            item.set("value", change.value());
                        }
                        item.put("stamp", change.stamp());
                    }
                }
                if (!news.isEmpty() || now() >= until) {
                    return new Kit.Answer(200, json);
                }
            }
            wait(Math.max(1, Math.min(200, until - now())));
        }
    }

    private Kit.Answer commit(JsonNode json, int bytes) {
        if (json.path("writes").size() > txnOps
                || json.path("when").size() > 4 * txnOps
                || bytes > 64 * 1024) {
            return new Kit.Answer(400, error("transaction too large"));
        }
        for (JsonNode write : json.path("writes")) {
            if (write.has("write") && Kit.bytes(write.path("value")).length > valueBytes) {
                return new Kit.Answer(400, error("value too large"));
            }
            if (write.has("tenancy") && !leases.containsKey(write.path("tenancy").asLong())) {
                return new Kit.Answer(400, error("no such lease"));
            }
        }
        ArrayNode failed = Kit.object().putArray("failed");
        for (JsonNode when : json.path("when")) {
            Entry entry = keys.get(when.path("key").asText());
            if ((entry == null ? 0 : entry.stamp()) != when.path("stamp").asLong()) {
                failed.add(when.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode answer = Kit.object();
            answer.set("failed", failed);
            answer.put("ledgerRev", rev);
            return new Kit.Answer(409, answer);
        }
        if (json.path("writes").size() > 0) {
            rev++;
            for (JsonNode write : json.path("writes")) {
                if (write.has("delete")) {
                    remove(write.path("delete").asText());
                } else {
                    String key = write.path("write").asText();
                    Entry entry =
                            new Entry(
                                    key, write.path("value"), rev, write.path("tenancy").asLong(0));
                    keys.put(key, entry);
                    changed(new Change(key, entry.value(), rev));
                }
            }
            notifyAll();
        }
        return new Kit.Answer(200, revision(rev));
    }
}
