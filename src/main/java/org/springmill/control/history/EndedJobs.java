package org.springmill.control.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.springmill.control.storage.EndedJob;
import org.springmill.control.storage.RateLimit;
import org.springmill.control.storage.StateStore;
import org.springmill.control.storage.StateStore.ReadResult;
import org.springmill.transport.Loop;

/**
 * Looks up jobs whose records have been moved, by reads of single keys. Questions about one job
 * share a read, the latest answers are kept, and reads take a bounded share of the state service's
 * requests: beyond a small buffer a lookup is refused at once, for its user to come back.
 *
 * <p>A final state never changes, so a kept answer stays right. That a job is absent is never kept,
 * since it may be accepted and moved later.
 */
public final class EndedJobs {
    /** Lookups that may wait for their turn, as a ratio to those of one second. */
    private static final double BUFFERED_SECONDS = 1;

    /** Answers kept; each takes some 200 bytes. */
    static final int MOST_KEPT = 4096;

    private final StateStore store;
    private final Loop loop;
    private final RateLimit rate;
    private final int mostWaiting;
    private final Map<String, List<Consumer<Lookup>>> underWay = new HashMap<>();
    private final ArrayDeque<String> waiting = new ArrayDeque<>();
    private final Map<String, EndedJob> kept = new LeastRecentlyUsed();
    private boolean pumping;

    /** What a lookup found. */
    public enum Outcome {
        /** The job's record has been moved; its final state is known. */
        FOUND,
        /** No record of that job had been moved when the state service was read. */
        ABSENT,
        /** The state service did not answer, or too many lookups wait. */
        UNAVAILABLE
    }

    /**
     * The result of a lookup.
     *
     * @param job null unless found
     */
    public record Lookup(Outcome outcome, EndedJob job) {
        static final Lookup ABSENT = new Lookup(Outcome.ABSENT, null);
        static final Lookup UNAVAILABLE = new Lookup(Outcome.UNAVAILABLE, null);

        static Lookup found(EndedJob job) {
            return new Lookup(Outcome.FOUND, job);
        }
    }

    private static final class LeastRecentlyUsed extends LinkedHashMap<String, EndedJob> {
        LeastRecentlyUsed() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndedJob> eldest) {
            return size() > MOST_KEPT;
        }
    }

    public EndedJobs(StateStore store, Loop loop) {
        this.store = store;
        this.loop = loop;
        double readsPerSecond = store.lookupsPerS();
        rate = new RateLimit(readsPerSecond, loop.now());
        mostWaiting = (int) Math.max(1, BUFFERED_SECONDS * readsPerSecond);
    }

    /** The final state of a moved job if it is in memory, else null. */
    public EndedJob kept(String id) {
        return kept.get(id);
    }

    /** Takes in the final state of a job whose record was seen to be moved. */
    public void keep(EndedJob job) {
        kept.put(job.id(), job);
    }

    /** Answers kept in memory. */
    public int keptCount() {
        return kept.size();
    }

    /** Looks up a job; calls back at once if its state is in memory or too many lookups wait. */
    public void find(String id, Consumer<Lookup> done) {
        EndedJob known = kept.get(id);
        if (known != null) {
            done.accept(Lookup.found(known));
            return;
        }
        List<Consumer<Lookup>> sharing = underWay.get(id);
        if (sharing != null) {
            sharing.add(done);
            return;
        }
        if (waiting.size() >= mostWaiting) {
            done.accept(Lookup.UNAVAILABLE);
            return;
        }
        List<Consumer<Lookup>> first = new ArrayList<>(1);
        first.add(done);
        underWay.put(id, first);
        waiting.add(id);
        if (!pumping) {
            pump();
        }
    }

    private void pump() {
        pumping = false;
        while (!waiting.isEmpty()) {
            double wait = rate.waitFor(1, loop.now());
            if (wait > 0) {
                pumping = true;
                loop.after(wait, this::pump);
                return;
            }
            rate.take(1, loop.now());
            String id = waiting.poll();
            store.get(EndedJob.key(id), read -> answered(id, read));
        }
    }

    private void answered(String id, ReadResult read) {
        Lookup lookup = lookup(read);
        if (lookup.job() != null) {
            keep(lookup.job());
        }
        underWay.remove(id).forEach(done -> done.accept(lookup));
    }

    private static Lookup lookup(ReadResult read) {
        if (!read.served()) {
            return Lookup.UNAVAILABLE;
        }
        return read.entry() == null
                ? Lookup.ABSENT
                : Lookup.found(EndedJob.decode(read.entry().key(), read.entry().value()));
    }
}
