import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service, as PROTOCOL-springmill.md describes it ("Controller nodes -> state service"):
 * keys with stamps, transactions, leases, watches, the limits of the settings, and outages.
 */
final class State {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int CHANGES_KEPT = 10_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private static final int MAX_COMMIT_BYTES = 64 * 1024;

    private record Entry(JsonNode value, int bytes, long stamp, long tenancy) {}

    private record Change(String key, JsonNode value, long stamp) {}

    private static final class Grant {
        private final double seconds;
        private double endsAt;

        Grant(double seconds) {
            this.seconds = seconds;
        }
    }

    /** Tokens that refill at a rate; bursts are worth one second. */
    private static final class Bucket {
        private final double perSecond;
        private double tokens;
        private double at = Record.now();

        Bucket(double perSecond) {
            this.perSecond = perSecond;
            tokens = perSecond;
        }

        boolean take(double amount) {
            double now = Record.now();
            tokens = Math.min(perSecond, tokens + (now - at) * perSecond);
            at = now;
            if (tokens < amount) {
                return false;
            }
            tokens -= amount;
            return true;
        }
    }

    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private volatile double latencySeconds;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final List<String> carriedOut = new ArrayList<>();
    private long revision;
    private long forgottenUpTo;
    private long lastGrant;
    private boolean down;
    private final Map<String, Integer> answers = new TreeMap<>();

    State(double rps, double writeRps, double valueKb, int txnOps, double latencySeconds) {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        this.latencySeconds = latencySeconds;
    }

    String start() throws IOException {
        Http.thread("grants", this::expireGrants);
        return Http.serve("state", this::handle);
    }

    private void expireGrants() throws InterruptedException {
        while (true) {
            Thread.sleep(20);
            synchronized (this) {
                if (!down) {
                    List<Long> over = new ArrayList<>();
                    grants.forEach(
                            (id, grant) -> {
                                if (grant.endsAt < Record.now()) {
                                    over.add(id);
                                }
                            });
                    over.forEach(this::endGrant);
                }
            }
        }
    }

    /** Begins or ends an outage. Once it is over, every lease has its full time again. */
    synchronized void setDown(boolean nowDown) {
        if (down && !nowDown) {
            grants.values().forEach(grant -> grant.endsAt = Record.now() + grant.seconds);
        }
        down = nowDown;
        notifyAll();
    }

    void setLatency(double seconds) {
        latencySeconds = seconds;
    }

    synchronized JsonNode value(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    synchronized List<String> keysUnder(String prefix) {
        List<String> found = new ArrayList<>();
        for (String key : keys.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) {
                break;
            }
            found.add(key);
        }
        return found;
    }

    /** What earlier processes have written, for a store that exists already. */
    synchronized void preload(String key, JsonNode value) {
        revision++;
        put(key, value, 0);
    }

    /** How often each status was sent, by kind of request. */
    synchronized String answerCounts() {
        return answers.toString();
    }

    /** The bodies of all transactions that were carried out, oldest first. */
    synchronized List<String> carriedOut() {
        return List.copyOf(carriedOut);
    }

    /** Handles a transaction once more, as if a copy of its request came. */
    Http.Reply repeat(String body) throws Exception {
        synchronized (this) {
            return commit(body);
        }
    }

    private Http.Reply handle(Http.Request request) throws Exception {
        Thread.sleep((long) (latencySeconds * 1000));
        Http.Reply reply = answer(request);
        synchronized (this) {
            String kind = request.method() + " " + request.path().split("/")[1];
            answers.merge(kind + " " + reply.status(), 1, Integer::sum);
        }
        return reply;
    }

    private synchronized Http.Reply answer(Http.Request request) throws Exception {
        if (down) {
            return new Http.Reply(503, "{\"error\":\"trouble\"}");
        }
        if (!requests.take(1)) {
            return new Http.Reply(429, "{\"error\":\"rate\"}");
        }
        String path = request.path();
        if (path.equals("/commit")) {
            return commit(request.body());
        } else if (path.equals("/store")) {
            return list(request);
        } else if (path.startsWith("/store/")) {
            return get(path.substring("/store/".length()));
        } else if (path.equals("/changes")) {
            return watch(request);
        } else if (path.equals("/grants")) {
            Grant grant = new Grant(JSON.readTree(request.body()).path("ttlMs").asLong() / 1000.0);
            grant.endsAt = Record.now() + grant.seconds;
            grants.put(++lastGrant, grant);
            return new Http.Reply(200, "{\"tenancy\":" + lastGrant + "}");
        } else if (path.startsWith("/grants/")) {
            return grant(request);
        }
        return new Http.Reply(400, "{}");
    }

    private Http.Reply grant(Http.Request request) {
        String[] parts = request.path().split("/");
        long id = Long.parseLong(parts[2]);
        Grant grant = grants.get(id);
        if (request.method().equals("DELETE")) {
            endGrant(id);
            return revisionReply(200);
        }
        if (grant == null) {
            return revisionReply(404);
        }
        grant.endsAt = Record.now() + grant.seconds;
        return revisionReply(200);
    }

    private void endGrant(long id) {
        grants.remove(id);
        List<String> attached = new ArrayList<>();
        keys.forEach(
                (key, entry) -> {
                    if (entry.tenancy() == id) {
                        attached.add(key);
                    }
                });
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(this::delete);
            notifyAll();
        }
    }

    private Http.Reply revisionReply(int status) {
        return new Http.Reply(status, "{\"ledgerRev\":" + revision + "}");
    }

    private Http.Reply get(String key) {
        Entry entry = keys.get(key);
        return entry == null ? revisionReply(404) : new Http.Reply(200, json(key, entry).toString());
    }

    private static ObjectNode json(String key, Entry entry) {
        ObjectNode node = JSON.createObjectNode();
        node.put("key", key).set("value", entry.value());
        node.put("stamp", entry.stamp());
        if (entry.tenancy() != 0) {
            node.put("tenancy", entry.tenancy());
        }
        return node;
    }

    private Http.Reply list(Http.Request request) {
        String prefix = request.parameter("under", "");
        String from = request.parameter("from", "");
        int limit = Math.min(1000, Integer.parseInt(request.parameter("limit", "1000")));
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode pairs = answer.putArray("pairs");
        int bytes = 0;
        boolean truncated = false;
        Map<String, Entry> rest =
                from.isEmpty() ? keys.tailMap(prefix, true) : keys.tailMap(from, false);
        for (Map.Entry<String, Entry> entry : rest.entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (pairs.size() == limit || bytes > MAX_PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += entry.getValue().bytes() + 80;
            pairs.add(json(entry.getKey(), entry.getValue()));
        }
        answer.put("truncated", truncated).put("ledgerRev", revision);
        return new Http.Reply(200, answer.toString());
    }

    private Http.Reply commit(String body) throws Exception {
        JsonNode transaction = JSON.readTree(body);
        JsonNode conditions = transaction.path("when");
        JsonNode changed = transaction.path("writes");
        if (!writes.take(changed.size())) {
            return new Http.Reply(429, "{\"error\":\"rate\"}");
        }
        boolean tooLarge =
                body.getBytes(StandardCharsets.UTF_8).length > MAX_COMMIT_BYTES
                        || changed.size() > txnOps
                        || conditions.size() > 4 * txnOps;
        for (JsonNode write : changed) {
            tooLarge |= write.has("write") && bytes(write.path("value")) > valueBytes;
        }
        if (tooLarge) {
            return new Http.Reply(400, "{\"error\":\"too large\"}");
        }
        for (JsonNode write : changed) {
            long tenancy = write.path("tenancy").asLong();
            if (tenancy != 0 && !grants.containsKey(tenancy)) {
                return new Http.Reply(400, "{\"error\":\"no such lease\"}");
            }
        }
        ObjectNode refusal = JSON.createObjectNode();
        ArrayNode failed = refusal.putArray("failed");
        for (JsonNode condition : conditions) {
            Entry entry = keys.get(condition.path("key").asText());
            if ((entry == null ? 0 : entry.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Reply(409, refusal.put("ledgerRev", revision).toString());
        }
        if (!changed.isEmpty()) {
            revision++;
            for (JsonNode write : changed) {
                if (write.has("write")) {
                    long tenancy = write.path("tenancy").asLong();
                    put(write.path("write").asText(), write.path("value"), tenancy);
                } else {
                    delete(write.path("delete").asText());
                }
            }
            carriedOut.add(body);
            notifyAll();
        }
        return revisionReply(200);
    }

    private static int bytes(JsonNode value) {
        return value.toString().getBytes(StandardCharsets.UTF_8).length;
    }

    private void put(String key, JsonNode value, long tenancy) {
        keys.put(key, new Entry(value, bytes(value), revision, tenancy));
        recordChange(new Change(key, value, revision));
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            recordChange(new Change(key, null, revision));
        }
    }

    private void recordChange(Change change) {
        changes.add(change);
        if (changes.size() > CHANGES_KEPT) {
            forgottenUpTo = changes.poll().stamp();
        }
    }

    /** Waits for a change; open watches stay open through an outage. */
    private Http.Reply watch(Http.Request request) throws InterruptedException {
        String prefix = request.parameter("under", "");
        long from = Long.parseLong(request.parameter("from", "0"));
        double until = Record.now() + Long.parseLong(request.parameter("waitMs", "0")) / 1000.0;
        while (true) {
            if (!down) {
                if (from < forgottenUpTo) {
                    return revisionReply(410);
                }
                ObjectNode answer = JSON.createObjectNode();
                ArrayNode news = answer.putArray("news");
                for (Change change : changes) {
                    if (change.stamp() > from && change.key().startsWith(prefix)) {
                        ObjectNode node = news.addObject();
                        if (change.value() == null) {
                            node.put("delete", change.key());
                        } else {
                            node.put("write", change.key()).set("value", change.value());
                        }
                        node.put("stamp", change.stamp());
                    }
                }
                if (!news.isEmpty() || Record.now() >= until) {
                    return new Http.Reply(200, answer.put("ledgerRev", revision).toString());
                }
            }
            double left = until - Record.now();
            wait(left > 0 && !down ? (long) (left * 1000) + 1 : 100);
        }
    }
}
