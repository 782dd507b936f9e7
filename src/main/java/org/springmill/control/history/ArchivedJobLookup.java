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
import org.springmill.control.storage.RateLimit;
import org.springmill.transport.EventLoop;

/**
 * Looks up jobs whose records have been moved, by reads of single keys. Questions about one job
 * share a read, the latest answers are kept, and reads take a bounded share of the key-value
 * store's requests: beyond a small buffer a lookup is refused at once, for its user to come back.
 *
 * <p>A final state never changes, so a kept answer stays right. That a job is absent is never kept,
 * since it may be accepted and moved later.
 */
public final class ArchivedJobLookup {
    /** Lookups that may wait for their turn, as a ratio to those of one second. */
    private static final double MAX_QUEUED_SECONDS = 1;

    /** Answers kept; each takes some 200 bytes. */
    static final int MOST_KEPT = 4096;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final RateLimit rate;
    private final int maxQueued;
    private final Map<String, List<Consumer<Lookup>>> callbacksByJob = new HashMap<>();
    private final ArrayDeque<String> queuedIds = new ArrayDeque<>();
    private final Map<String, ArchivedJob> kept = new LruCache();
    private boolean isDrainScheduled;

    /** What a lookup found. */
    public enum Outcome {
        /** The job's record has been moved; its final state is known. */
        FOUND,
        /** No record of that job had been moved when the key-value store was read. */
        ABSENT,
        /** The key-value store did not answer, or too many lookups wait. */
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
            return size() > MOST_KEPT;
        }
    }

    public ArchivedJobLookup(KeyValueStoreClient store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
        double readsPerSecond = store.lookupsPerSecond();
        rate = new RateLimit(readsPerSecond, loop.now());
        maxQueued = (int) Math.max(1, MAX_QUEUED_SECONDS * readsPerSecond);
    }

    /** The final state of a moved job if it is in memory, else null. */
    public ArchivedJob kept(String id) {
        return kept.get(id);
    }

    /** Takes in the final state of a job whose record was seen to be moved. */
    public void keep(ArchivedJob job) {
        kept.put(job.id(), job);
    }

    /** Answers kept in memory. */
    public int keptCount() {
        return kept.size();
    }

    /** Looks up a job; calls back at once if its state is in memory or too many lookups wait. */
    public void find(String id, Consumer<Lookup> done) {
        ArchivedJob known = kept.get(id);
        if (known != null) {
            done.accept(Lookup.found(known));
            return;
        }
        List<Consumer<Lookup>> sharing = callbacksByJob.get(id);
        if (sharing != null) {
            sharing.add(done);
            return;
        }
        if (queuedIds.size() >= maxQueued) {
            done.accept(Lookup.UNAVAILABLE);
            return;
        }
        List<Consumer<Lookup>> first = new ArrayList<>(1);
        first.add(done);
        callbacksByJob.put(id, first);
        queuedIds.add(id);
        if (!isDrainScheduled) {
            drainQueue();
        }
    }

    private void drainQueue() {
        isDrainScheduled = false;
        while (!queuedIds.isEmpty()) {
            double wait = rate.waitFor(1, loop.now());
            if (wait > 0) {
                isDrainScheduled = true;
                loop.after(wait, this::drainQueue);
                return;
            }
            rate.take(1, loop.now());
            String id = queuedIds.poll();
            store.get(ArchivedJob.key(id), read -> readCompleted(id, read));
        }
    }

    private void readCompleted(String id, ReadResult read) {
        Lookup lookup = lookup(read);
        if (lookup.job() != null) {
            keep(lookup.job());
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
