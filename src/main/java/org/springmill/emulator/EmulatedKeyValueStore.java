package org.springmill.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.MessageLimits;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Commit;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Get;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Grant;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.ListKeys;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Renew;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Revoke;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.StoreRequest;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Watch;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;

/**
 * Implements the published key-value store protocol: versioned keys, compare-and-swap transactions,
 * leases and watches, with size limits and outages. It has no rate limits; the server in front of
 * it may apply some.
 */
public final class EmulatedKeyValueStore {
    private static final int MAX_CHANGES_KEPT = 10_000;
    private static final int MAX_COMMIT_BYTES = MessageLimits.MAX_BYTES;
    private static final int MAX_PAGE_ENTRIES = 1000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private static final int CONDITIONS_PER_WRITE = 4;
    private static final double EXPIRY_INTERVAL_SECONDS = 0.05;

    private final EventLoop loop;
    private int valueBytes;
    private int writesPerCommit;
    private int maxPageEntries = MAX_PAGE_ENTRIES;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final List<OpenWatch> watches = new ArrayList<>();
    private final Set<String> refusedNodes = new HashSet<>();
    private long revision;
    private long compactedRevision;
    private long nextLease = 1;
    private int rejectedForSize;
    private boolean down;

    private static final class Lease {
        private final double ttlSeconds;
        private double endsAt;

        Lease(double ttlSeconds, double now) {
            this.ttlSeconds = ttlSeconds;
            renew(now);
        }

        void renew(double now) {
            endsAt = now + ttlSeconds;
        }
    }

    /**
     * An open watch of a node. It is overdue if its wait has ended while the node was not served,
     * and is then answered as soon as the node is served again.
     */
    private static final class OpenWatch {
        private final String node;
        private final Watch watch;
        private final Consumer<Reply> done;
        private boolean overdue;
        private boolean completed;

        OpenWatch(String node, Watch watch, Consumer<Reply> done) {
            this.node = node;
            this.watch = watch;
            this.done = done;
        }
    }

    /**
     * Creates an empty store.
     *
     * @param valueBytes maximum size of a value in bytes
     * @param writesPerCommit maximum number of writes in one transaction
     */
    public EmulatedKeyValueStore(EventLoop loop, int valueBytes, int writesPerCommit) {
        this.loop = loop;
        this.valueBytes = valueBytes;
        this.writesPerCommit = writesPerCommit;
    }

    /** Starts to end expired leases at regular intervals. */
    public void start() {
        expireLeases();
        loop.after(EXPIRY_INTERVAL_SECONDS, this::start);
    }

    /** Sets the size limits of later transactions. Stored values are kept. */
    public void setSizeLimits(int bytes, int writes) {
        valueBytes = bytes;
        writesPerCommit = writes;
    }

    /** Sets the maximum number of entries of a page, whatever limit a request has. */
    public void setMaxPageEntries(int entries) {
        maxPageEntries = entries;
    }

    /** Number of transactions that were rejected for their size. */
    public int rejectedForSize() {
        return rejectedForSize;
    }

    /** Number of stored keys. */
    public int keyCount() {
        return keys.size();
    }

    /** Starts or ends an outage. All leases are renewed when an outage ends. */
    public void setDown(boolean nowDown) {
        expireLeases();
        if (down && !nowDown) {
            leases.values().forEach(lease -> lease.renew(loop.now()));
        }
        down = nowDown;
        serveWatches();
    }

    /** True during an outage. */
    public boolean down() {
        return down;
    }

    /**
     * Starts or ends to answer one node with 503 while the others are served. Its leases can expire
     * meanwhile, and its open watches are not answered.
     */
    public void setRefused(String node, boolean refuse) {
        if (refuse) {
            refusedNodes.add(node);
        } else {
            refusedNodes.remove(node);
            serveWatches();
        }
    }

    /** Ends an outage and serves every node again. */
    public void serveAll() {
        refusedNodes.clear();
        setDown(false);
    }

    /** Deletes the history: watches from earlier revisions get 410 and have to list the keys. */
    public void compactChanges() {
        changes.clear();
        compactedRevision = revision;
    }

    /** The value of a key, or null if the key does not exist. */
    public JsonNode value(String key) {
        expireLeases();
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    /** All keys with the given prefix, sorted. */
    public List<String> keysUnder(String prefix) {
        expireLeases();
        return keys.tailMap(prefix).keySet().stream()
                .takeWhile(key -> key.startsWith(prefix))
                .toList();
    }

    private boolean serves(String node) {
        return !down && !refusedNodes.contains(node);
    }

    /**
     * Answers a request. A watch without changes is answered later.
     *
     * @param target path and query
     */
    public void handle(
            String node, String method, String target, byte[] body, Consumer<Reply> done) {
        try {
            handle(node, KeyValueStoreServerMessages.decodeRequest(method, target, body), done);
        } catch (MalformedMessageException e) {
            done.accept(new Reply(400, KeyValueStoreServerMessages.encodeError(e.getMessage())));
        }
    }

    /** Answers a request. A watch without changes is answered later. */
    public void handle(String node, StoreRequest request, Consumer<Reply> done) {
        expireLeases();
        if (!serves(node)) {
            done.accept(new Reply(503, KeyValueStoreServerMessages.encodeError("trouble")));
        } else if (request instanceof Watch watch) {
            watch(node, watch, done);
        } else {
            done.accept(answer(request));
        }
    }

    private Reply answer(StoreRequest request) {
        if (request instanceof Commit commit) {
            return commit(commit);
        } else if (request instanceof Get get) {
            Entry entry = keys.get(get.key());
            return entry == null
                    ? new Reply(404, KeyValueStoreServerMessages.encodeRevision(revision))
                    : new Reply(200, KeyValueStoreServerMessages.encodeEntry(entry));
        } else if (request instanceof ListKeys list) {
            return list(list);
        } else if (request instanceof Grant grant) {
            leases.put(nextLease, new Lease(grant.ttlSeconds(), loop.now()));
            return new Reply(200, KeyValueStoreServerMessages.encodeLease(nextLease++));
        } else if (request instanceof Renew renew) {
            Lease lease = leases.get(renew.lease());
            if (lease == null) {
                return new Reply(404, KeyValueStoreServerMessages.encodeRevision(revision));
            }
            lease.renew(loop.now());
        } else if (request instanceof Revoke revoke) {
            endLease(revoke.lease());
        }
        return new Reply(200, KeyValueStoreServerMessages.encodeRevision(revision));
    }

    private Reply list(ListKeys list) {
        List<Entry> entries = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        int maxEntries = Math.min(list.limit(), maxPageEntries);
        String from = list.after().isEmpty() ? list.prefix() : list.after();
        for (Entry entry : keys.tailMap(from, list.after().isEmpty()).values()) {
            if (!entry.key().startsWith(list.prefix())) {
                break;
            }
            if (entries.size() == maxEntries || bytes > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            entries.add(entry);
            bytes += Json.bytes(entry.value()).length + entry.key().length();
        }
        return new Reply(200, KeyValueStoreServerMessages.encodePage(entries, more, revision));
    }

    private Reply commit(Commit commit) {
        Optional<String> rejection = rejection(commit);
        if (rejection.isPresent()) {
            return new Reply(400, KeyValueStoreServerMessages.encodeError(rejection.get()));
        }
        boolean leaseExpired =
                commit.writes().stream()
                        .anyMatch(
                                write -> write.lease() != 0 && !leases.containsKey(write.lease()));
        if (leaseExpired) {
            return new Reply(400, KeyValueStoreServerMessages.encodeLeaseExpired());
        }
        List<String> failed =
                commit.conditions().stream()
                        .filter(condition -> version(condition.key()) != condition.version())
                        .map(Condition::key)
                        .toList();
        if (!failed.isEmpty()) {
            return new Reply(
                    409, KeyValueStoreServerMessages.encodeFailedConditions(failed, revision));
        }
        if (!commit.writes().isEmpty()) {
            revision++;
            commit.writes().forEach(this::apply);
            serveWatches();
        }
        return new Reply(200, KeyValueStoreServerMessages.encodeRevision(revision));
    }

    /** Why a transaction is rejected for its size; empty if it is not. */
    private Optional<String> rejection(Commit commit) {
        boolean large =
                commit.writes().size() > writesPerCommit
                        || commit.conditions().size() > CONDITIONS_PER_WRITE * writesPerCommit
                        || commit.bytes() > MAX_COMMIT_BYTES;
        boolean largeValue =
                commit.writes().stream()
                        .anyMatch(
                                write ->
                                        write.value() != null
                                                && Json.bytes(write.value()).length > valueBytes);
        if (large || largeValue) {
            rejectedForSize++;
            return Optional.of(large ? "transaction too large" : "value too large");
        }
        return Optional.empty();
    }

    private long version(String key) {
        Entry entry = keys.get(key);
        return entry == null ? 0 : entry.version();
    }

    private void apply(Write write) {
        if (write.value() == null) {
            remove(write.key());
        } else {
            Entry entry = new Entry(write.key(), write.value(), revision, write.lease());
            keys.put(write.key(), entry);
            recordChange(new Change(write.key(), write.value(), revision));
        }
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            recordChange(new Change(key, null, revision));
        }
    }

    private void recordChange(Change change) {
        changes.add(change);
        if (changes.size() > MAX_CHANGES_KEPT) {
            compactedRevision = changes.poll().version();
        }
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> attached =
                keys.values().stream()
                        .filter(entry -> entry.lease() == lease)
                        .map(Entry::key)
                        .toList();
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(this::remove);
            serveWatches();
        }
    }

    /** Leases do not expire during an outage. */
    private void expireLeases() {
        if (down) {
            return;
        }
        List<Long> expired =
                leases.entrySet().stream()
                        .filter(lease -> lease.getValue().endsAt < loop.now())
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(this::endLease);
    }

    private void watch(String node, Watch request, Consumer<Reply> done) {
        OpenWatch watch = new OpenWatch(node, request, done);
        if (serve(watch, request.waitSeconds() == 0)) {
            return;
        }
        watches.add(watch);
        loop.after(
                request.waitSeconds(),
                () -> {
                    watch.overdue = true;
                    if (serve(watch, true)) {
                        watches.remove(watch);
                    }
                });
    }

    private void serveWatches() {
        for (OpenWatch watch : List.copyOf(watches)) {
            if (serve(watch, watch.overdue)) {
                watches.remove(watch);
            }
        }
    }

    private boolean serve(OpenWatch open, boolean answerIfEmpty) {
        if (open.completed || !serves(open.node)) {
            return open.completed;
        }
        Watch watch = open.watch;
        if (watch.from() < compactedRevision) {
            open.completed = true;
            open.done.accept(new Reply(410, KeyValueStoreServerMessages.encodeRevision(revision)));
            return true;
        }
        List<Change> found = changesAfter(watch.from(), watch.prefix());
        if (found.isEmpty() && !answerIfEmpty) {
            return false;
        }
        open.completed = true;
        open.done.accept(
                new Reply(200, KeyValueStoreServerMessages.encodeChanges(found, revision)));
        return true;
    }

    /**
     * The changes of a prefix after a revision, oldest first. Searches backwards from the latest
     * change, because most watches need only a few of the stored changes.
     */
    private List<Change> changesAfter(long from, String prefix) {
        ArrayDeque<Change> found = new ArrayDeque<>();
        var latestFirst = changes.descendingIterator();
        while (latestFirst.hasNext()) {
            Change change = latestFirst.next();
            if (change.version() <= from) {
                break;
            }
            if (change.key().startsWith(prefix)) {
                found.addFirst(change);
            }
        }
        return List.copyOf(found);
    }
}
