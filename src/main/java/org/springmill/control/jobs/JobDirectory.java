package org.springmill.control.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.history.ArchivedJobLookup;
import org.springmill.control.history.ArchivedJobLookup.Lookup;
import org.springmill.control.history.ArchivedJobLookup.Outcome;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.transport.EventLoop;

/**
 * Every controller's copy of the records of live and recent jobs, as they are in effect, and the
 * cancellations of such jobs. What has been moved to the history is read key by key.
 *
 * <p>The copy may lag, so an answer that could be outdated (a job unknown, or not ended) waits for
 * a {@link #barrier}.
 */
public final class JobDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(JobDirectory.class);

    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final ArchivedJobLookup archivedJobs;
    private final JobDependencies dependencies;
    private final Cancellations cancellations;

    /** Cancellations of which no record was read yet, by job; told by other controllers. */
    private final Map<String, Cancellation> cancellationsWithoutRecord = new HashMap<>();

    private final JobRecordWatch watch;
    private final EventLoop loop;
    private final double lookupRetrySeconds;
    private Consumer<JobRecord> changeListener = job -> {};
    private Consumer<String> evictionListener = id -> {};
    private boolean lookupInFlight;

    /**
     * @param tag tells this process from earlier ones of the same controller
     */
    public JobDirectory(KeyValueStoreClient store, EventLoop loop, Timeouts timeouts, int tag) {
        this.loop = loop;
        lookupRetrySeconds = timeouts.leaderRenewIntervalSeconds();
        archivedJobs = new ArchivedJobLookup(store, loop);
        dependencies = new JobDependencies(jobs, archivedJobs::kept);
        cancellations = new Cancellations(tag);
        watch = new JobRecordWatch(store, loop, timeouts, new RecordListener());
    }

    private final class RecordListener implements JobRecordWatch.Listener {
        @Override
        public void changed(Change change) {
            apply(change);
        }

        @Override
        public void loaded() {
            LOG.info("{} jobs known", jobs.size());
        }

        @Override
        public void reloaded(Set<String> keys, long revision) {
            List<String> gone =
                    jobs.values().stream()
                            .filter(job -> job.version() <= revision && !keys.contains(job.key()))
                            .map(JobRecord::id)
                            .toList();
            gone.forEach(JobDirectory.this::evict);
        }

        @Override
        public void caughtUp() {
            dropCancellationsOfArchivedJobs();
            lookUpNextDependency();
        }
    }

    /** Begins to read the records, and to follow their changes. */
    public void start() {
        watch.start();
    }

    /** Notes that this controller stood still; see {@link JobRecordWatch#resumed}. */
    public void resumed() {
        watch.resumed();
    }

    /** Whether all records were read once. */
    public boolean loaded() {
        return watch.loaded();
    }

    /** Has a listener told of every record that is new or has changed in effect. */
    public void onChange(Consumer<JobRecord> newListener) {
        changeListener = newListener;
    }

    /** Has a listener told of every job whose record leaves memory. */
    public void onForget(Consumer<String> newListener) {
        evictionListener = newListener;
    }

    /** Which job needs which, and what follows from it. */
    public JobDependencies dependencies() {
        return dependencies;
    }

    /**
     * The record in effect: a job cancelled with one that it needs counts as cancelled, whatever
     * its own record says.
     */
    public JobRecord get(String id) {
        return jobs.get(id);
    }

    /** The final state of a job whose record has been moved, if it is in memory; else null. */
    public ArchivedJob archived(String id) {
        return archivedJobs.kept(id);
    }

    /**
     * Reads the final state of a job whose record may have been moved. A move is atomic: whoever
     * finds no record after a {@link #barrier}, and nothing here either, asks for a job that was
     * not accepted when the question came.
     */
    public void findArchived(String id, Consumer<Lookup> done) {
        archivedJobs.find(id, done);
    }

    /**
     * Reads the final states of jobs that have been moved, so that {@link #archived} has them.
     * Stops at the first that was not moved, for whoever asks needs all of them.
     *
     * @param done takes false if one could not be read, or not in time; what was read is kept, so
     *     that the same asked again gets further
     */
    public void findAllArchived(List<String> ids, double until, Consumer<Boolean> done) {
        if (ids.isEmpty()) {
            done.accept(true);
            return;
        }
        archivedJobs.find(
                ids.get(0),
                lookup -> {
                    if (lookup.outcome() == Outcome.FOUND && loop.now() < until) {
                        findAllArchived(ids.subList(1, ids.size()), until, done);
                    } else {
                        done.accept(lookup.outcome() == Outcome.ABSENT);
                    }
                });
    }

    /** Forgets a job whose record has been moved to the history. */
    private void evict(String id) {
        JobRecord job = jobs.get(id);
        if (job == null) {
            return;
        }
        if (!job.active()) {
            archivedJobs.keep(ArchivedJob.of(job));
        }
        cancellations.drop(id);
        dependencies.evict(id);
        evictionListener.accept(id);
        lookUpNextDependency();
    }

    /** One at a time: there are hardly ever any, and a takeover must not wait for them. */
    private void lookUpNextDependency() {
        String id = dependencies.firstUnresolved();
        if (lookupInFlight || !watch.loaded() || id == null) {
            return;
        }
        lookupInFlight = true;
        archivedJobs.find(id, lookup -> handleDependencyLookup(id, lookup));
    }

    private void handleDependencyLookup(String id, Lookup lookup) {
        if (lookup.outcome() == Outcome.FOUND) {
            lookupInFlight = false;
            dependencies.mergeArchived(lookup.job()).forEach(changeListener);
            lookUpNextDependency();
        } else {
            // Its record may just not have been read yet; the feed brings it then. Others must not
            // wait for one that is never found.
            dependencies.postponeUnresolved(id);
            loop.after(
                    lookupRetrySeconds,
                    () -> {
                        lookupInFlight = false;
                        lookUpNextDependency();
                    });
        }
    }

    /** Of jobs whose records were moved before this controller learned of their cancellations. */
    private void dropCancellationsOfArchivedJobs() {
        if (cancellationsWithoutRecord.isEmpty() || !watch.loaded()) {
            return;
        }
        cancellationsWithoutRecord.values().removeIf(this::hasRecordOrIsArchived);
    }

    private boolean hasRecordOrIsArchived(Cancellation reported) {
        if (jobs.containsKey(reported.job())) {
            return true;
        }
        boolean moved = reported.revision() <= watch.cursor();
        if (moved) {
            cancellations.drop(reported.job());
        }
        return moved;
    }

    /** The records in memory: of jobs that have not ended, or not long ago, in no order. */
    public Collection<JobRecord> all() {
        return jobs.values();
    }

    /** Takes in a record that this controller has just written or read itself. */
    public void learn(JobRecord job) {
        boolean seenByFeed = watch.loaded() && job.version() <= watch.cursor();
        if (seenByFeed && !jobs.containsKey(job.id())) {
            // The commit's answer came so late that the record has been moved meanwhile.
            return;
        }
        mergeStored(job);
    }

    private void mergeStored(JobRecord job) {
        JobRecord known = jobs.get(job.id());
        if (known != null && known.version() >= job.version()) {
            return;
        }
        if (job.cancelled()) {
            cancellations.add(new Cancellation(job.id(), job.version(), job.endedAt()));
        }
        dependencies.merge(job).forEach(changeListener);
        Cancellation reported = cancellations.find(job.id());
        if (reported != null && job.active()) {
            applyCancellation(job, reported);
        }
    }

    /**
     * Takes in a cancellation reported by another controller, also of a job not yet known here. It
     * moves no cursor: what was committed before it may still be unknown.
     */
    public void learn(Cancellation reported) {
        JobRecord known = jobs.get(reported.job());
        boolean isNew = cancellations.add(reported);
        if (known == null) {
            cancellationsWithoutRecord.put(reported.job(), reported);
        } else if (isNew && known.active()) {
            applyCancellation(known, reported);
        }
    }

    private void applyCancellation(JobRecord active, Cancellation reported) {
        learn(active.ended(JobPhase.CANCELLED, reported.askedAt()).committed(reported.revision()));
    }

    /**
     * Whether users may be told the state of a job that is in memory; see {@link JobDependencies}.
     */
    public boolean isStatusCertain(JobRecord job) {
        return dependencies.isStatusCertain(job);
    }

    /** Cancellations in memory, with those whose records were not read yet. */
    public int cancellationCount() {
        return cancellations.size() + cancellationsWithoutRecord.size();
    }

    /** Final states of moved jobs in memory. */
    public int archivedInMemory() {
        return archivedJobs.keptCount();
    }

    /** Whether a job is known to be cancelled, even if its record is not known yet. */
    boolean isCancelled(String id) {
        return cancellations.find(id) != null;
    }

    /** Stops what a worker still has of cancelled jobs. */
    public List<Command> stopCommandsFor(Heartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(task -> task.state() != TaskState.EXITED)
                .filter(task -> isCancelled(task.task().job()))
                .<Command>map(task -> new Stop(task.task(), task.attempt(), 0))
                .toList();
    }

    /**
     * What this controller tells of itself when it asks another one, which handed out the bookmark.
     */
    public CancellationDelta deltaRequest(long bookmark) {
        return new CancellationDelta(watch.cursor(), bookmark, false, watch.loaded(), List.of());
    }

    /** What another controller lacks, going by its question. */
    public CancellationDelta deltaFor(CancellationDelta known) {
        return cancellations.deltaFor(known, watch.loaded());
    }

    /** Everything that was committed before this moment is known here. */
    public double currentAt() {
        return watch.currentAt();
    }

    /**
     * Calls back with true once every change made before this call is in the copy; with false if
     * that cannot be had.
     */
    public void barrier(Consumer<Boolean> done) {
        watch.readBarrier(done);
    }

    private void apply(Change change) {
        if (change.value() == null) {
            evict(change.key().substring(JobRecord.PREFIX.length()));
            return;
        }
        try {
            mergeStored(JobRecord.decode(change.key(), change.value(), change.version()));
        } catch (MalformedMessageException e) {
            LOG.error("{} cannot be read: {}", change.key(), e.getMessage());
        }
    }
}
