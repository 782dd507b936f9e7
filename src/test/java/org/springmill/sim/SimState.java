package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** A simulated state service, written from the published protocol. */
public final class SimState {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Value(JsonNode value, long version, long lease) {}

    private record Change(long revision, String key, JsonNode value) {}

    /** An open watch of a node; overdue once its time ran out while the node was not served. */
    private static final class Watch {
        private final String node;
        private final String prefix;
        private final long from;
        private final Consumer<Reply> done;
        private boolean overdue;
        private boolean over;

        Watch(String node, String prefix, long from, Consumer<Reply> done) {
            this.node = node;
            this.prefix = prefix;
            this.from = from;
            this.done = done;
        }
    }

    private final VirtualClock clock;
    private int valueBytes;
    private int writesPerCommit;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final Map<Long, Double> leases = new HashMap<>();
    private final Map<Long, Double> ttls = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long oldestKept;
    private long nextLease = 1;
    private final Set<String> refused = new HashSet<>();
    private SplittableRandom random;
    private double delayedCommitShare;
    private int tooLarge;
    private boolean down;

    SimState(VirtualClock clock, int valueBytes, int writesPerCommit) {
        this.clock = clock;
        this.valueBytes = valueBytes;
        this.writesPerCommit = writesPerCommit;
    }

    /** Other limits from now on, without notice. What is stored stays. */
    public void limit(int bytes, int writes) {
        valueBytes = bytes;
        writesPerCommit = writes;
    }

    /** Transactions refused for their size so far. */
    public int tooLarge() {
        return tooLarge;
    }

    /** An outage; once it is over every lease has its full time again. */
    public void setDown(boolean nowDown) {
        expire();
        if (down && !nowDown) {
            ttls.forEach((lease, ttl) -> leases.replace(lease, clock.now() + ttl));
        }
        down = nowDown;
        serveOverdue();
    }

    /** The changes so far are no longer kept: whoever asks for them has to read the keys anew. */
    public void forgetChanges() {
        changes.clear();
        oldestKept = revision;
    }

    void random(SplittableRandom source) {
        random = source;
    }

    /**
     * Answers one node 503 while the others are served; its leases run out, and its open watches
     * wait.
     */
    public void refuse(int controller, boolean now) {
        if (now) {
            refused.add(SimSettings.controllerName(controller));
        } else {
            refused.remove(SimSettings.controllerName(controller));
            serveOverdue();
        }
    }

    /**
     * That share of the transactions gets no response and is applied 2 to 12 s later, after newer
     * ones.
     */
    public void delayCommits(double share) {
        delayedCommitShare = share;
    }

    void calm() {
        refused.clear();
        delayedCommitShare = 0;
        setDown(false);
    }

    private boolean serves(String node) {
        return !down && !refused.contains(node);
    }

    private void serveOverdue() {
        for (Watch watch : List.copyOf(watches)) {
            if (serve(watch, watch.overdue)) {
                watches.remove(watch);
            }
        }
    }

    public JsonNode value(String key) {
        expire();
        Value value = keys.get(key);
        return value == null ? null : value.value();
    }

    public List<String> keysUnder(String prefix) {
        expire();
        return keys.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    void handle(String from, Request request, Consumer<Reply> done) {
        expire();
        String path = request.path();
        if (!serves(from)) {
            done.accept(reply(503, JSON.createObjectNode()));
        } else if (path.startsWith("/changes")) {
            changes(from, query(path), done);
        } else if (path.equals("/commit")
                && delayedCommitShare > 0
                && random.nextDouble() < delayedCommitShare) {
            commitLater(request, 2 + random.nextDouble() * 10);
        } else {
            done.accept(answer(request, path));
        }
    }

    private void commitLater(Request request, double delaySeconds) {
        clock.after(
                delaySeconds,
                () -> {
                    expire();
                    if (down) {
                        commitLater(request, 1);
                    } else {
                        commit(parse(request.body()));
                    }
                });
    }

    private Reply answer(Request request, String path) {
        ObjectNode out = JSON.createObjectNode();
        if (path.equals("/commit")) {
            return commit(parse(request.body()));
        }
        if (path.equals("/grants")) {
            long lease = nextLease++;
            double ttl = parse(request.body()).path("ttlMs").asDouble() / 1000;
            ttls.put(lease, ttl);
            leases.put(lease, clock.now() + ttl);
            return reply(200, out.put("tenancy", lease));
        }
        if (path.startsWith("/grants/")) {
            String[] parts = path.split("/");
            long lease = Long.parseLong(parts[2]);
            if (!leases.containsKey(lease)) {
                return reply(404, out);
            }
            if (request.method().equals("DELETE")) {
                end(lease);
            } else {
                leases.put(lease, clock.now() + ttls.get(lease));
            }
            return reply(200, out);
        }
        if (path.startsWith("/store?")) {
            return list(query(path));
        }
        String key = path.substring("/store/".length());
        Value value = keys.get(key);
        if (value == null) {
            return reply(404, out.put("ledgerRev", revision));
        }
        return reply(200, entry(key, value));
    }

    private ObjectNode entry(String key, Value value) {
        ObjectNode entry = JSON.createObjectNode().put("key", key).put("stamp", value.version());
        entry.set("value", value.value());
        if (value.lease() != 0) {
            entry.put("tenancy", value.lease());
        }
        return entry;
    }

    private Reply list(Map<String, String> query) {
        ObjectNode out = JSON.createObjectNode();
        ArrayNode pairs = out.putArray("pairs");
        int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
        boolean more = false;
        for (Map.Entry<String, Value> e :
                keys.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
            if (e.getKey().startsWith(query.get("under"))) {
                if (pairs.size() == limit) {
                    more = true;
                    break;
                }
                pairs.add(entry(e.getKey(), e.getValue()));
            }
        }
        return reply(200, out.put("truncated", more).put("ledgerRev", revision));
    }

    private Reply commit(JsonNode txn) {
        ObjectNode out = JSON.createObjectNode();
        ArrayNode failed = JSON.createArrayNode();
        for (JsonNode condition : txn.path("when")) {
            Value value = keys.get(condition.path("key").asText());
            if ((value == null ? 0 : value.version()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        JsonNode writes = txn.path("writes");
        if (writes.size() > writesPerCommit || txn.toString().length() > 64 * 1024) {
            tooLarge++;
            return reply(400, out.put("error", "transaction too large"));
        }
        for (JsonNode write : writes) {
            if (write.has("tenancy") && !leases.containsKey(write.path("tenancy").asLong())) {
                return reply(400, out.put("error", "no such lease"));
            }
            if (write.has("value") && write.path("value").toString().length() > valueBytes) {
                tooLarge++;
                return reply(400, out.put("error", "value too large"));
            }
        }
        if (!failed.isEmpty()) {
            out.set("failed", failed);
            return reply(409, out.put("ledgerRev", revision));
        }
        if (!writes.isEmpty()) {
            revision++;
            for (JsonNode write : writes) {
                if (write.has("write")) {
                    put(
                            write.path("write").asText(),
                            new Value(
                                    write.path("value"), revision, write.path("tenancy").asLong()));
                } else {
                    remove(write.path("delete").asText());
                }
            }
            notifyWatches();
        }
        return reply(200, out.put("ledgerRev", revision));
    }

    private void put(String key, Value value) {
        keys.put(key, value);
        changes.add(new Change(revision, key, value.value()));
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            changes.add(new Change(revision, key, null));
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        ttls.remove(lease);
        List<String> attached =
                keys.entrySet().stream()
                        .filter(e -> e.getValue().lease() == lease)
                        .map(Map.Entry::getKey)
                        .toList();
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(this::remove);
            notifyWatches();
        }
    }

    /** Leases do not run while the service is down. */
    private void expire() {
        if (!down) {
            for (Long lease : List.copyOf(leases.keySet())) {
                if (leases.get(lease) < clock.now()) {
                    end(lease);
                }
            }
        }
    }

    void tick() {
        expire();
        clock.after(0.05, this::tick);
    }

    private void changes(String node, Map<String, String> query, Consumer<Reply> done) {
        Watch watch = new Watch(node, query.get("under"), Long.parseLong(query.get("from")), done);
        double wait = Long.parseLong(query.getOrDefault("waitMs", "0")) / 1000.0;
        if (!serve(watch, wait == 0)) {
            watches.add(watch);
            clock.after(
                    wait,
                    () -> {
                        watch.overdue = true;
                        if (serve(watch, true)) {
                            watches.remove(watch);
                        }
                    });
        }
    }

    private boolean serve(Watch watch, boolean evenIfEmpty) {
        if (watch.over || !serves(watch.node)) {
            return watch.over;
        }
        if (watch.from < oldestKept) {
            watch.over = true;
            watch.done.accept(reply(410, JSON.createObjectNode()));
            return true;
        }
        ArrayNode news = JSON.createArrayNode();
        for (Change change : changes) {
            if (change.revision() > watch.from && change.key().startsWith(watch.prefix)) {
                ObjectNode item = news.addObject().put("stamp", change.revision());
                if (change.value() == null) {
                    item.put("delete", change.key());
                } else {
                    item.put("write", change.key()).set("value", change.value());
                }
            }
        }
        if (news.isEmpty() && !evenIfEmpty) {
            return false;
        }
        watch.over = true;
        ObjectNode out = JSON.createObjectNode().put("ledgerRev", revision);
        out.set("news", news);
        watch.done.accept(reply(200, out));
        return true;
    }

    private void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (serve(watch, false)) {
                watches.remove(watch);
            }
        }
    }

    static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            int eq = pair.indexOf('=');
            query.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return query;
    }

    static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static Reply reply(int status, JsonNode body) {
        return new Reply(status, body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
}
