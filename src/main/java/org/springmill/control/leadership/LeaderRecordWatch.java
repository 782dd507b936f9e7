package org.springmill.control.leadership;

import java.util.function.Consumer;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.ChangesResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.transport.EventLoop;

/** Watches the leader record in the key-value store for as long as the process runs. */
final class LeaderRecordWatch {
    private static final long UNKNOWN_REVISION = 0;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Consumer<Change> onChange;

    /** Revision up to which changes are known. If {@link #UNKNOWN_REVISION}, it is read first. */
    private long knownRevision = UNKNOWN_REVISION;

    LeaderRecordWatch(
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts,
            Consumer<Change> onChange) {
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
        this.onChange = onChange;
    }

    /** Requests the next changes, and repeats that after each response. */
    void start() {
        if (knownRevision == UNKNOWN_REVISION) {
            store.list(LeaderRecord.KEY, this::revisionRead);
        } else {
            store.changes(
                    LeaderRecord.KEY,
                    knownRevision,
                    timeouts.workerLeaseSeconds(),
                    this::changesRead);
        }
    }

    private void revisionRead(Page page) {
        if (page == null) {
            retryLater();
            return;
        }
        knownRevision = Math.max(1, page.revision());
        start();
    }

    private void changesRead(ChangesResult result) {
        if (result.changes() == null) {
            knownRevision = result.tooOld() ? UNKNOWN_REVISION : knownRevision;
            retryLater();
            return;
        }
        knownRevision = Math.max(knownRevision, result.changes().revision());
        result.changes().changes().forEach(onChange);
        start();
    }

    private void retryLater() {
        loop.after(timeouts.leaderRenewIntervalSeconds(), this::start);
    }
}
