package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.List;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.transport.Loop;

/**
 * Writes down which jobs were cancelled with one that they need. Nothing depends on it, since every
 * controller derives the same from the record of the first one; so it has the lowest standing among
 * all that is written, and a wave of cancellations costs no round its turn.
 */
final class CancellationPersister {
    /** Of all that the state service takes. */
    private static final double SHARE = 0.1;

    private final StateStore store;
    private final JobDirectory directory;
    private final Leadership leadership;
    private final Loop loop;
    private boolean closed;

    CancellationPersister(
            StateStore store, JobDirectory directory, Leadership leadership, Loop loop) {
        this.store = store;
        this.directory = directory;
        this.leadership = leadership;
        this.loop = loop;
    }

    void close() {
        closed = true;
    }

    void run() {
        if (closed) {
            return;
        }
        int most = Math.max(1, store.limits().writesPerCommit() / 2);
        List<JobRecord> due = directory.dependencies().pendingPersistence(most);
        double restS = Math.max(1, due.size()) / (SHARE * store.limits().writesPerS());
        if (due.isEmpty() || store.backlog() > 0 || !leadership.mayPlace()) {
            loop.after(restS, this::run);
            return;
        }
        List<Condition> conditions = new ArrayList<>();
        conditions.add(leadership.condition());
        List<Write> writes = new ArrayList<>();
        for (JobRecord job : due) {
            conditions.add(new Condition(job.key(), job.version()));
            writes.add(Write.put(job.key(), job.encode(store.limits().valueBytes())));
        }
        store.commit(
                conditions,
                writes,
                result -> {
                    switch (result.outcome()) {
                        case COMMITTED ->
                                due.forEach(
                                        job -> directory.learn(job.committed(result.revision())));
                        // Somebody else has written one of them, or it does not fit: not tried
                        // again without end.
                        case REFUSED -> directory.dependencies().abandonPersistence(due);
                        case TOO_LARGE, NOT_NOW, UNKNOWN -> {}
                    }
                    loop.after(restS, this::run);
                });
    }
}
