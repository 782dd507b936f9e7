package org.springmill.control.coordination;

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
import org.springmill.protocol.UserMessages.Phase;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.transport.Loop;

/**
 * Every controller's copy of the job records, as they are in effect, and the cancellations that it
 * knows of.
 *
 * <p>The copy may lag, so an answer that could be outdated (a job unknown, or not ended) waits for
 * a {@link #barrier}.
 */
final class JobDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(JobDirectory.class);

    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final JobDependencies dependencies = new JobDependencies(jobs);
    private final Cancellations cancellations;
    private final JobRecordFeed feed;
    private Consumer<JobRecord> listener = job -> {};

    /**
     * @param tag tells this process from earlier ones of the same controller
     */
    JobDirectory(StateStore store, Loop loop, Timing timing, int tag) {
        cancellations = new Cancellations(tag);
        feed = new JobRecordFeed(store, loop, timing, new FeedListener());
    }

    private final class FeedListener implements JobRecordFeed.Listener {
        @Override
        public void changed(Change change) {
            apply(change);
        }

        @Override
        public void loaded() {
            LOG.info("{} jobs known", jobs.size());
        }
    }

    /** Begins to read the records, and to follow their changes. */
    void start() {
        feed.start();
    }

    /** Whether all records were read once. */
    boolean loaded() {
        return feed.loaded();
    }

    /** Has a listener told of every record that is new or has changed in effect. */
    void onChange(Consumer<JobRecord> changeListener) {
        listener = changeListener;
    }

    /** Which job needs which, and what follows from it. */
    JobDependencies dependencies() {
        return dependencies;
    }

    /**
     * The record in effect: a job cancelled with one that it needs counts as cancelled, whatever
     * its own record says.
     */
    JobRecord get(String id) {
        return jobs.get(id);
    }

    /** The records of all jobs ever accepted, in no order. */
    Collection<JobRecord> all() {
        return jobs.values();
    }

    /** Takes in a record that this controller has just written or read itself. */
    void learn(JobRecord job) {
        JobRecord known = jobs.get(job.id());
        if (known != null && known.version() >= job.version()) {
            return;
        }
        if (job.cancelled()) {
            cancellations.add(new Cancellation(job.id(), job.version(), job.endedAt()));
        }
        dependencies.learn(job).forEach(listener);
        Cancellation reported = cancellations.of(job.id());
        if (reported != null && job.active()) {
            learnEnd(job, reported);
        }
    }

    /**
     * Takes in a cancellation reported by another controller, also of a job not yet known here. It
     * moves no cursor: what was committed before it may still be unknown.
     */
    void learn(Cancellation reported) {
        JobRecord known = jobs.get(reported.job());
        if (cancellations.add(reported) && known != null && known.active()) {
            learnEnd(known, reported);
        }
    }

    private void learnEnd(JobRecord active, Cancellation reported) {
        learn(active.ended(Phase.CANCELLED, reported.askedAt()).committed(reported.revision()));
    }

    /** Whether a job is known to be cancelled, even if its record is not known yet. */
    boolean cancelled(String id) {
        return cancellations.of(id) != null;
    }

    /** Stops what a worker still has of cancelled jobs. */
    List<Command> stopsFor(Report report) {
        return report.tasks().stream()
                .filter(task -> task.state() != TaskState.EXITED)
                .filter(task -> cancelled(task.task().job()))
                .<Command>map(task -> new Stop(task.task(), task.attempt(), 0))
                .toList();
    }

    /**
     * What this controller tells of itself when it asks another one, which handed out the bookmark.
     */
    News known(long bookmark) {
        return new News(feed.cursor(), bookmark, false, feed.loaded(), List.of());
    }

    /** What another controller lacks, going by its question. */
    News lackedBy(News known) {
        return cancellations.lackedBy(known, feed.loaded());
    }

    /** Everything that was committed before this moment is known here. */
    double currentAt() {
        return feed.currentAt();
    }

    /**
     * Calls back with true once every change made before this call is in the copy; with false if
     * that cannot be had.
     */
    void barrier(Consumer<Boolean> done) {
        feed.barrier(done);
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
