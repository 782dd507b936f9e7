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
import org.springmill.protocol.CommandBatchBuilder;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;
import org.springmill.transport.EventLoop;

/**
 * Every controller's in-memory copy of the records of active and recent jobs, with derived
 * cancellations applied, and of the cancellations of such jobs. Archived jobs are looked up by key.
 *
 * <p>The copy may lag behind the key-value store, so a response that could be stale (the job is
 * unknown, or has not ended) waits for a {@link #readBarrier}.
 */
public final class JobDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(JobDirectory.class);

    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final ArchivedJobLookup archivedJobs;
    private final JobDependencies dependencies;
    private final Cancellations cancellations;

    /**
     * Cancellations received from other controllers whose job records have not been read, by job.
     */
    private final Map<String, Cancellation> cancellationsWithoutRecord = new HashMap<>();

    private final JobRecordWatch watch;
    private final EventLoop loop;
    private final double lookupRetrySeconds;
    private Consumer<JobRecord> changeListener = job -> {};
    private Consumer<String> evictionListener = id -> {};
    private boolean lookupInFlight;

    /**
     * Creates an empty directory; {@link #start} fills it.
     *
     * @param tag distinguishes this process from earlier ones of the same controller
     */
    public JobDirectory(KeyValueStoreClient store, EventLoop loop, Timeouts timeouts, int tag) {
        this.loop = loop;
        lookupRetrySeconds = timeouts.leaderRenewIntervalSeconds();
        archivedJobs = new ArchivedJobLookup(store, loop);
        dependencies = new JobDependencies(jobs, archivedJobs::cached);
        cancellations = new Cancellations(tag);
        watch = new JobRecordWatch(store, loop, timeouts, new RecordListener());
    }

    private final class RecordListener implements JobRecordWatch.Listener {
        @Override
        public void changed(Change change) {
            apply(change);
        }

        @Override
        public void listed(Set<String> keys, long revision) {
            List<String> archivedIds =
                    jobs.values().stream()
                            .filter(job -> job.version() <= revision && !keys.contains(job.key()))
                            .map(JobRecord::id)
                            .toList();
            archivedIds.forEach(JobDirectory.this::evict);
            LOG.info(
                    "job records loaded from the key-value store: {} jobs at revision {}, {} archived since an earlier listing",
                    jobs.size(),
                    revision,
                    archivedIds.size());
        }

        @Override
        public void caughtUp() {
            dropCancellationsOfArchivedJobs();
            lookUpNextDependency();
        }
    }

    /** Starts reading the records and watching their changes. */
    public void start() {
        watch.start();
    }

    /** Records that this process was paused; see {@link JobRecordWatch#processResumed}. */
    public void processResumed() {
        watch.processResumed();
    }

    /** Whether all records have been read once. */
    public boolean isLoaded() {
        return watch.isLoaded();
    }

    /** Sets the listener that receives every record that is new or has changed. */
    public void onChange(Consumer<JobRecord> newListener) {
        changeListener = newListener;
    }

    /** Sets the listener that receives the id of every job whose record is evicted from memory. */
    public void onEvict(Consumer<String> newListener) {
        evictionListener = newListener;
    }

    /** The dependency graph and the cancellations derived from it. */
    public JobDependencies dependencies() {
        return dependencies;
    }

    /**
     * The record of a job, or null. A job with a cancelled dependency is returned as cancelled,
     * even if its own stored record is not.
     */
    public JobRecord get(String id) {
        return jobs.get(id);
    }

    /** The final state of an archived job if it is in memory; else null. */
    public ArchivedJob archived(String id) {
        return archivedJobs.cached(id);
    }

    /**
     * Looks up the final state of a job that may have been archived. Archiving is atomic: if no
     * record is found after a {@link #readBarrier}, and no archived job either, the job was not
     * accepted when the request arrived.
     */
    public void lookUpArchived(String id, Consumer<Lookup> done) {
        archivedJobs.find(id, done);
    }

    /**
     * Looks up the final states of archived jobs, one after the other, so that {@link #archived}
     * returns them. Stops at the first that is not archived, since the caller needs all of them.
     *
     * @param deadline in seconds on the steady clock
     * @param done receives false if a state could not be read before the deadline; those already
     *     read stay in memory, so that a retry gets further
     */
    public void lookUpAllArchived(List<String> ids, double deadline, Consumer<Boolean> done) {
        if (ids.isEmpty()) {
            done.accept(true);
            return;
        }
        archivedJobs.find(
                ids.get(0),
                lookup -> {
                    if (lookup.outcome() == Outcome.FOUND && loop.now() < deadline) {
                        lookUpAllArchived(ids.subList(1, ids.size()), deadline, done);
                    } else {
                        done.accept(lookup.outcome() == Outcome.ABSENT);
                    }
                });
    }

    /** Evicts a job that has been archived. */
    private void evict(String id) {
        JobRecord job = jobs.get(id);
        if (job == null) {
            return;
        }
        if (!job.active()) {
            archivedJobs.cache(ArchivedJob.of(job));
        }
        cancellations.drop(id);
        dependencies.evict(id);
        evictionListener.accept(id);
        lookUpNextDependency();
    }

    /**
     * Looks up the next archived dependency whose final state is not known. Lookups run one at a
     * time, since there are few of them and they must not delay a failover.
     */
    private void lookUpNextDependency() {
        String id = dependencies.firstUnresolved();
        if (lookupInFlight || !watch.isLoaded() || id == null) {
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
            // The watch may not have delivered its record yet. A lookup that never succeeds must
            // not block the others.
            dependencies.postponeUnresolved(id);
            loop.after(
                    lookupRetrySeconds,
                    () -> {
                        lookupInFlight = false;
                        lookUpNextDependency();
                    });
        }
    }

    /** Drops cancellations of jobs that were archived before the cancellations were received. */
    private void dropCancellationsOfArchivedJobs() {
        if (cancellationsWithoutRecord.isEmpty() || !watch.isLoaded()) {
            return;
        }
        cancellationsWithoutRecord.values().removeIf(this::hasRecordOrIsArchived);
    }

    private boolean hasRecordOrIsArchived(Cancellation received) {
        if (jobs.containsKey(received.job())) {
            return true;
        }
        boolean isArchived = received.revision() <= watch.cursor();
        if (isArchived) {
            cancellations.drop(received.job());
        }
        return isArchived;
    }

    /** A live view of the records in memory, of active and recently ended jobs, in no order. */
    public Collection<JobRecord> all() {
        return jobs.values();
    }

    /**
     * Merges a record that this controller has just written or read itself. Versions older than the
     * known one are ignored.
     */
    public void merge(JobRecord job) {
        boolean isSeenByWatch = watch.isLoaded() && job.version() <= watch.cursor();
        if (isSeenByWatch && !jobs.containsKey(job.id())) {
            // The job was archived before the response to the commit arrived.
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
        Cancellation cancellation = cancellations.find(job.id());
        if (cancellation != null && job.active()) {
            applyCancellation(job, cancellation);
        }
    }

    /**
     * Merges a cancellation received from another controller, even if the job is not known yet. It
     * does not advance the cursor, since earlier changes may not have been read yet.
     */
    public void merge(Cancellation received) {
        JobRecord known = jobs.get(received.job());
        boolean isNew = cancellations.add(received);
        if (known == null) {
            cancellationsWithoutRecord.put(received.job(), received);
        } else if (isNew && known.active()) {
            applyCancellation(known, received);
        }
    }

    private void applyCancellation(JobRecord active, Cancellation cancellation) {
        merge(
                active.ended(JobPhase.CANCELLED, cancellation.requestedAtSeconds())
                        .committed(cancellation.revision()));
    }

    /** Whether the state of a job in memory may be sent to users; see {@link JobDependencies}. */
    public boolean isStatusCertain(JobRecord job) {
        return dependencies.isStatusCertain(job);
    }

    /** Number of cancellations in memory; those without a job record are counted twice. */
    public int cancellationCount() {
        return cancellations.size() + cancellationsWithoutRecord.size();
    }

    /** Number of final states of archived jobs in memory. */
    public int archivedCount() {
        return archivedJobs.cachedCount();
    }

    /** Whether a job is known to be cancelled, even if its record is not known yet. */
    boolean isCancelled(String id) {
        return cancellations.find(id) != null;
    }

    /**
     * Stop commands for the tasks of cancelled jobs that have not exited on a worker, as many as
     * one response may carry; its next heartbeat shows which are left.
     */
    public List<Command> stopCommandsFor(Heartbeat heartbeat) {
        CommandBatchBuilder commands = new CommandBatchBuilder();
        for (TaskStatus task : heartbeat.tasks()) {
            boolean isToStop = task.state() != TaskState.EXITED && isCancelled(task.task().job());
            if (isToStop && !commands.add(new Stop(task.task(), task.attempt(), 0))) {
                break;
            }
        }
        return commands.build();
    }

    /**
     * The request for the cancellations that this controller does not have.
     *
     * @param peerCursor the cursor that the peer sent last; 0 for none
     */
    public CancellationDelta deltaRequest(long peerCursor) {
        return new CancellationDelta(
                watch.cursor(), peerCursor, false, watch.isLoaded(), List.of());
    }

    /** The cancellations that the sender of a request does not have. */
    public CancellationDelta deltaFor(CancellationDelta request) {
        return cancellations.deltaFor(request, watch.isLoaded());
    }

    /** Every change committed before this time, on the steady clock, is in the copy. */
    public double currentAsOf() {
        return watch.currentAsOf();
    }

    /**
     * Waits until every change committed before this call is in the copy (a linearizable read).
     *
     * @param done receives true then, or false if the key-value store could not be read
     */
    public void readBarrier(Consumer<Boolean> done) {
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
            LOG.error(
                    "record {} cannot be decoded: {}; change ignored",
                    change.key(),
                    e.getMessage());
        }
    }
}
