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
 * Reads the job records from the key-value store: all of them once, then their changes, by a watch
 * and by read barriers.
 *
 * <p>A read barrier reads the changes up to a revision that was current after the barrier was
 * requested. One read serves all waiting barriers.
 */
final class JobRecordWatch {
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Listener listener;
    private final double barrierIntervalSeconds;
    private List<Consumer<Boolean>> waitingBarriers = new ArrayList<>();

    /** Whether a read for barriers is in flight, or the interval after the last one is not over. */
    private boolean readInFlight;

    private boolean isLoaded;
    private int pauseCount;
    private long cursor;
    private double currentAsOf = Double.NEGATIVE_INFINITY;

    /** Receives the records. */
    interface Listener {
        /** A record was read, or has changed or been deleted. */
        void changed(Change change);

        /**
         * All records were read, by one listing: the first, or another one after too many changes
         * had been missed. Records known up to that revision that are not among them have been
         * archived, also those that an earlier listing delivered before it failed.
         *
         * @param keys of the records that were read
         * @param revision at which the list is complete
         */
        void listed(Set<String> keys, long revision);

        /** Every change up to the cursor has been delivered. */
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
     * Lists all records, then watches their changes. Records are delivered page by page: when all
     * pages were collected first, the records of some ten thousand jobs took more memory than
     * everything else. So a listing that fails has delivered some; the one that replaces it shows
     * which of them are gone.
     */
    void start() {
        double requestedAt = loop.now();
        Set<String> keys = new HashSet<>();
        store.list(
                JobRecord.PREFIX,
                entries -> handlePage(entries, keys),
                revision -> {
                    if (revision < 0) {
                        loop.after(timeouts.leaderRenewIntervalSeconds(), this::start);
                        return;
                    }
                    completeList(keys, revision, requestedAt);
                    watch();
                });
    }

    private void handlePage(List<Entry> entries, Set<String> keys) {
        for (Entry entry : entries) {
            keys.add(entry.key());
            // Records up to the cursor were delivered before; their jobs may be archived by now.
            if (entry.version() > cursor) {
                listener.changed(new Change(entry.key(), entry.value(), entry.version()));
            }
        }
    }

    private void completeList(Set<String> keys, long revision, double requestedAt) {
        cursor = Math.max(cursor, revision);
        currentAsOf = Math.max(currentAsOf, requestedAt);
        isLoaded = true;
        listener.listed(keys, revision);
        listener.caughtUp();
    }

    /** Whether all records have been read once. */
    boolean isLoaded() {
        return isLoaded;
    }

    /** Every change up to this revision has been delivered. */
    long cursor() {
        return cursor;
    }

    /** Every change committed before this time, on the steady clock, has been delivered. */
    double currentAsOf() {
        return currentAsOf;
    }

    /**
     * Waits until every change committed before this call has been delivered.
     *
     * @param done receives true then, or false if the key-value store could not be read
     */
    void readBarrier(Consumer<Boolean> done) {
        if (!isLoaded) {
            done.accept(false);
            return;
        }
        waitingBarriers.add(done);
        if (!readInFlight) {
            readForBarriers();
        }
    }

    /**
     * Called after this process was paused. A read that began before the pause may lack changes
     * committed during it, so the barriers that wait for the read wait for another one.
     */
    void processResumed() {
        pauseCount++;
    }

    private void readForBarriers() {
        readInFlight = true;
        int pausesBefore = pauseCount;
        List<Consumer<Boolean>> served = waitingBarriers;
        waitingBarriers = new ArrayList<>();
        double requestedAt = loop.now();
        store.changes(
                JobRecord.PREFIX,
                cursor,
                0,
                result -> {
                    boolean isRead = result.changes() != null;
                    if (isRead) {
                        currentAsOf = Math.max(currentAsOf, requestedAt);
                        applyChanges(result.changes());
                    }
                    if (isRead && pauseCount > pausesBefore) {
                        waitingBarriers.addAll(0, served);
                    } else {
                        served.forEach(barrier -> barrier.accept(isRead));
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
            // The watch and barriers read the same changes. If a change were delivered again after
            // a later change of the same key, the record of an archived job would reappear.
            if (change.version() > cursor) {
                listener.changed(change);
            }
        }
        cursor = Math.max(cursor, changes.revision());
        listener.caughtUp();
    }
}
