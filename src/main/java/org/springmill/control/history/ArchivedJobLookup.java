package org.springmill.control.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.ReadResult;
import org.springmill.control.storage.TokenBucket;
import org.springmill.transport.EventLoop;

/**
 * Looks up archived jobs by reads of single keys. Concurrent lookups of the same job share a read,
 * the latest results are cached, and reads use a bounded share of the key-value store's request
 * rate. If too many lookups are queued, further ones fail immediately and users have to retry.
 *
 * <p>A final state never changes, so a cached result stays valid. The absence of a job is never
 * cached, since it may be accepted and archived later.
 */
public final class ArchivedJobLookup {
    /** Longest queue of lookups, as the number of seconds it takes to send them. */
    private static final double MAX_QUEUED_SECONDS = 1;

    /** Maximum number of cached results; each takes about 200 bytes. */
    static final int MAX_CACHED = 4096;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final TokenBucket rateLimit;
    private final int maxQueued;
    private final Map<String, List<Consumer<Lookup>>> callbacksByJob = new HashMap<>();
    private final ArrayDeque<String> queuedIds = new ArrayDeque<>();
    private final Map<String, ArchivedJob> cache = new LruCache();
    private boolean isDrainScheduled;

    /** How a lookup ended. */
    public enum Outcome {
        /** The job is archived; its final state is known. */
        FOUND,
        /** The job was not archived when the key-value store was read. */
        ABSENT,
        /** The key-value store did not respond, or too many lookups are queued. */
        UNAVAILABLE
    }

    /**
     * The result of a lookup.
     *
     * @param job null unless found
     */
    public record Lookup(Outcome outcome, ArchivedJob job) {
        static final Lookup ABSENT = new Lookup(Outcome.ABSENT, null);
        static final Lookup UNAVAILABLE = new Lookup(Outcome.UNAVAILABLE, null);

        static Lookup found(ArchivedJob job) {
            return new Lookup(Outcome.FOUND, job);
        }
    }

    private static final class LruCache extends LinkedHashMap<String, ArchivedJob> {
        LruCache() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ArchivedJob> eldest) {
            return size() > MAX_CACHED;
        }
    }

    /** Creates a lookup with an empty cache. */
    public ArchivedJobLookup(KeyValueStoreClient store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
        double readsPerSecond = store.lookupsPerSecond();
        rateLimit = new TokenBucket(readsPerSecond, loop.now());
        maxQueued = (int) Math.max(1, MAX_QUEUED_SECONDS * readsPerSecond);
    }

    /** The final state of an archived job if it is cached, else null. */
    public ArchivedJob cached(String id) {
        return cache.get(id);
    }

    /** Caches the final state of a job that is known to be archived. */
    public void cache(ArchivedJob job) {
        cache.put(job.id(), job);
    }

    /** Number of cached results. */
    public int cachedCount() {
        return cache.size();
    }

    /** Looks up a job; calls back immediately if it is cached or too many lookups are queued. */
    public void find(String id, Consumer<Lookup> done) {
        ArchivedJob known = cache.get(id);
        if (known != null) {
            done.accept(Lookup.found(known));
            return;
        }
        List<Consumer<Lookup>> existingCallbacks = callbacksByJob.get(id);
        if (existingCallbacks != null) {
            existingCallbacks.add(done);
            return;
        }
        if (queuedIds.size() >= maxQueued) {
            done.accept(Lookup.UNAVAILABLE);
            return;
        }
        List<Consumer<Lookup>> newCallbacks = new ArrayList<>(1);
        newCallbacks.add(done);
        callbacksByJob.put(id, newCallbacks);
        queuedIds.add(id);
        if (!isDrainScheduled) {
            drainQueue();
        }
    }

    private void drainQueue() {
        isDrainScheduled = false;
        while (!queuedIds.isEmpty()) {
            double wait = rateLimit.waitSeconds(1, loop.now());
            if (wait > 0) {
                isDrainScheduled = true;
                loop.after(wait, this::drainQueue);
                return;
            }
            rateLimit.take(1, loop.now());
            String id = queuedIds.poll();
            store.get(ArchivedJob.key(id), read -> readCompleted(id, read));
        }
    }

    private void readCompleted(String id, ReadResult read) {
        Lookup lookup = lookup(read);
        if (lookup.job() != null) {
            cache(lookup.job());
        }
        callbacksByJob.remove(id).forEach(done -> done.accept(lookup));
    }

    private static Lookup lookup(ReadResult read) {
        if (!read.served()) {
            return Lookup.UNAVAILABLE;
        }
        return read.entry() == null
                ? Lookup.ABSENT
                : Lookup.found(ArchivedJob.decode(read.entry().key(), read.entry().value()));
    }
}
