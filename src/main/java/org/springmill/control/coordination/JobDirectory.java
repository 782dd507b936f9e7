package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.News;
import org.springmill.protocol.StateMessages.Change;
import org.springmill.protocol.StateMessages.Entry;
import org.springmill.protocol.UserMessages.Phase;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.transport.Loop;

/**
 * Every controller's copy of the job records, kept up by a watch.
 *
 * <p>The copy may lag, so an answer that could be outdated (a job unknown, or not ended) waits for
 * a barrier: the changes up to a revision that was current after the question came in. One read
 * serves all questions that wait.
 */
final class JobDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(JobDirectory.class);

    private final StateStore store;
    private final Loop loop;
    private final Timing timing;
    private final double spacingS;
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final JobDependencies chains = new JobDependencies(jobs);
    private List<Consumer<Boolean>> waiting = new ArrayList<>();
    private Consumer<JobRecord> listener = job -> {};
    private boolean reading;
    private boolean loaded;
    private long cursor;
    private final Cancellations cancellations;
    private double currentAt = Double.NEGATIVE_INFINITY;

    /**
     * @param tag tells this process from earlier ones of the same controller
     */
    JobDirectory(StateStore store, Loop loop, Timing timing, int tag) {
        cancellations = new Cancellations(tag);
        this.store = store;
        this.loop = loop;
        this.timing = timing;
        this.spacingS = 4 / store.limits().requestsPerS();
    }

    void start() {
        double asked = loop.now();
        store.list(
                JobRecord.PREFIX,
                page -> {
                    if (page == null) {
                        loop.after(timing.renewS(), this::start);
                        return;
                    }
                    for (Entry entry : page.entries()) {
                        apply(new Change(entry.key(), entry.value(), entry.version()));
                    }
                    cursor = Math.max(cursor, page.revision());
                    currentAt = Math.max(currentAt, asked);
                    if (!loaded) {
                        loaded = true;
                        LOG.info("{} jobs known", jobs.size());
                    }
                    watch();
                });
    }

    boolean loaded() {
        return loaded;
    }

    void onChange(Consumer<JobRecord> taker) {
        listener = taker;
    }

    JobDependencies dependencies() {
        return chains;
    }

    /**
     * The record in effect: a job cancelled with one that it needs counts as cancelled, whatever
     * its own record says.
     */
    JobRecord get(String id) {
        return jobs.get(id);
    }

    Collection<JobRecord> all() {
        return jobs.values();
    }

    /** Takes in a record that this controller has just written or read itself. */
    void learn(JobRecord job) {
        JobRecord known = jobs.get(job.id());
        if (known == null || known.version() < job.version()) {
            if (job.cancelled()) {
                cancellations.add(new Cancellation(job.id(), job.version(), job.endedAt()));
            }
            chains.learn(job).forEach(listener);
            Cancellation told = cancellations.of(job.id());
            if (told != null && job.active()) {
                learnEnd(job, told);
            }
        }
    }

    /**
     * Takes another controller's word for a cancellation, also of a job not yet known here. It
     * moves no cursor: what was committed before it may still be unknown.
     */
    void learn(Cancellation told) {
        JobRecord known = jobs.get(told.job());
        if (cancellations.add(told) && known != null && known.active()) {
            learnEnd(known, told);
        }
    }

    private void learnEnd(JobRecord active, Cancellation told) {
        learn(active.ended(Phase.CANCELLED, told.askedAt()).committed(told.revision()));
    }

    /** Whether a job is known to be cancelled, even if its record is not known yet. */
    boolean cancelled(String id) {
        return cancellations.of(id) != null;
    }

    /** Stops what a worker still has of cancelled jobs. */
    List<Command> stopsFor(Report report) {
        return report.tasks().stream()
                .filter(t -> t.state() != TaskState.EXITED && cancelled(t.task().job()))
                .<Command>map(t -> new Stop(t.task(), t.attempt(), 0))
                .toList();
    }

    /**
     * What this controller tells of itself when it asks another one, which handed out the bookmark.
     */
    News known(long bookmark) {
        return new News(cursor, bookmark, false, loaded, List.of());
    }

    /** What another controller lacks, going by its question. */
    News lackedBy(News known) {
        return cancellations.lackedBy(known, loaded);
    }

    /** All that was committed before this moment is known here. */
    double currentAt() {
        return currentAt;
    }

    /**
     * Calls back with true once every change made before this call is in the copy; false if that
     * cannot be had.
     */
    void barrier(Consumer<Boolean> done) {
        if (!loaded) {
            done.accept(false);
            return;
        }
        waiting.add(done);
        if (!reading) {
            readNow();
        }
    }

    private void readNow() {
        reading = true;
        List<Consumer<Boolean>> served = waiting;
        waiting = new ArrayList<>();
        double asked = loop.now();
        store.changes(
                JobRecord.PREFIX,
                cursor,
                0,
                result -> {
                    if (result.changes() != null) {
                        currentAt = Math.max(currentAt, asked);
                        applyAll(result.changes().changes(), result.changes().revision());
                    }
                    served.forEach(w -> w.accept(result.changes() != null));
                    loop.after(
                            spacingS,
                            () -> {
                                reading = false;
                                if (!waiting.isEmpty()) {
                                    readNow();
                                }
                            });
                });
    }

    private void watch() {
        store.changes(
                JobRecord.PREFIX,
                cursor,
                timing.leaseS(),
                result -> {
                    if (result.changes() != null) {
                        applyAll(result.changes().changes(), result.changes().revision());
                        watch();
                    } else if (result.tooOld()) {
                        start();
                    } else {
                        loop.after(timing.renewS(), this::watch);
                    }
                });
    }

    private void applyAll(List<Change> changes, long revision) {
        changes.forEach(this::apply);
        cursor = Math.max(cursor, revision);
    }

    private void apply(Change change) {
        if (change.value() == null) {
            return;
        }
        try {
            learn(JobRecord.decode(change.key(), change.value(), change.version()));
        } catch (BadMessageException e) {
            LOG.error("{} cannot be read: {}", change.key(), e.getMessage());
        }
    }
}
