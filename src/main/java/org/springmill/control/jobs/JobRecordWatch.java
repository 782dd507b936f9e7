package org.springmill.control.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.ChangesResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.KeyValueStoreMessages.Changes;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.transport.EventLoop;

/**
 * Reads the job records from the key-value store: all of them once, and from then on their changes
 * by a watch and by barriers.
 *
 * <p>A barrier reads the changes up to a revision that was current after it was asked for. One read
 * serves all barriers that wait.
 */
final class JobRecordWatch {
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Listener listener;
    private final double barrierIntervalSeconds;
    private List<Consumer<Boolean>> waitingBarriers = new ArrayList<>();
    private boolean readInFlight;
    private boolean loaded;
    private int pauseCount;
    private long cursor;
    private double currentAt = Double.NEGATIVE_INFINITY;

    /** Takes what is read. */
    interface Listener {
        /** A record as it stands, or its change. */
        void changed(Change change);

        /** All records were read for the first time. */
        void loaded();

        /**
         * All records were read again, since too many changes had been missed. What was passed on
         * before and is not among them has been moved.
         *
         * @param keys of the records that were there
         * @param revision of which the read is complete
         */
        void reloaded(Set<String> keys, long revision);

        /** Every change up to the cursor was passed on. */
        void caughtUp();
    }

    JobRecordWatch(
            KeyValueStoreClient store, EventLoop loop, Timeouts timeouts, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.listener = listener;
        barrierIntervalSeconds = 1 / store.barriersPerSecond();
    }

    /**
     * Reads all records, and follows their changes from there. They are passed on page by page:
     * held until the last one came, those of some ten thousand jobs took more memory than all else.
     */
    void start() {
        double askedAt = loop.now();
        Set<String> keys = new HashSet<>();
        store.list(
                JobRecord.PREFIX,
                entries -> handlePage(entries, keys),
                revision -> {
                    if (revision < 0) {
                        loop.after(timeouts.leaderRenewIntervalSeconds(), this::start);
                        return;
                    }
                    completeList(keys, revision, askedAt);
                    watch();
                });
    }

    private void handlePage(List<Entry> entries, Set<String> keys) {
        for (Entry entry : entries) {
            keys.add(entry.key());
            // What was passed on before may have been moved since.
            if (entry.version() > cursor) {
                listener.changed(new Change(entry.key(), entry.value(), entry.version()));
            }
        }
    }

    private void completeList(Set<String> keys, long revision, double askedAt) {
        cursor = Math.max(cursor, revision);
        currentAt = Math.max(currentAt, askedAt);
        if (loaded) {
            listener.reloaded(keys, revision);
        } else {
            loaded = true;
            listener.loaded();
        }
        listener.caughtUp();
    }

    /** Whether all records were read once. */
    boolean loaded() {
        return loaded;
    }

    /** Every change up to this revision was passed on. */
    long cursor() {
        return cursor;
    }

    /** Everything that was committed before this moment was passed on. */
    double currentAt() {
        return currentAt;
    }

    /**
     * Calls back with true once every change made before this call was passed on; with false if
     * that cannot be had.
     */
    void readBarrier(Consumer<Boolean> done) {
        if (!loaded) {
            done.accept(false);
            return;
        }
        waitingBarriers.add(done);
        if (!readInFlight) {
            readForBarriers();
        }
    }

    /**
     * Notes that this controller stood still. What it had asked for before is too old to answer
     * anyone with, and is asked for again.
     */
    void resumed() {
        pauseCount++;
    }

    private void readForBarriers() {
        readInFlight = true;
        int pausesBefore = pauseCount;
        List<Consumer<Boolean>> served = waitingBarriers;
        waitingBarriers = new ArrayList<>();
        double askedAt = loop.now();
        store.changes(
                JobRecord.PREFIX,
                cursor,
                0,
                result -> {
                    boolean read = result.changes() != null;
                    if (read) {
                        currentAt = Math.max(currentAt, askedAt);
                        applyChanges(result.changes());
                    }
                    if (read && pauseCount > pausesBefore) {
                        waitingBarriers.addAll(0, served);
                    } else {
                        served.forEach(barrier -> barrier.accept(read));
                    }
                    loop.after(barrierIntervalSeconds, this::readForWaitingBarriers);
                });
    }

    private void readForWaitingBarriers() {
        readInFlight = false;
        if (!waitingBarriers.isEmpty()) {
            readForBarriers();
        }
    }

    private void watch() {
        store.changes(
                JobRecord.PREFIX, cursor, timeouts.workerLeaseSeconds(), this::handleWatchResult);
    }

    private void handleWatchResult(ChangesResult result) {
        if (result.changes() != null) {
            applyChanges(result.changes());
            watch();
        } else if (result.tooOld()) {
            start();
        } else {
            loop.after(timeouts.leaderRenewIntervalSeconds(), this::watch);
        }
    }

    private void applyChanges(Changes changes) {
        for (Change change : changes.changes()) {
            // The watch and barriers read the same changes. One that is passed on again after a
            // later one of the same key would bring back a record that has been moved.
            if (change.version() > cursor) {
                listener.changed(change);
            }
        }
        cursor = Math.max(cursor, changes.revision());
        listener.caughtUp();
    }
}
