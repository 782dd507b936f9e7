package org.springmill.control.membership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Bounds the staleness of the cancellations that this controller knows. A controller that renews a
 * worker's lease long after its knowledge was last complete may be keeping a cancelled task alive:
 * the key-value store can refuse one controller alone, commit cancellations for another, and then
 * be down for all. docs/design.md has the argument.
 */
public final class CancellationFreshness {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationFreshness.class);

    /** The job records are read at least so often in the time of a worker's lease. */
    private static final int READS_PER_LEASE = 4;

    private final JobDirectory directory;
    private final Peers peers;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double presumedKnownAt;
    private boolean wasFresh = true;

    /** Creates the bound for a process that starts now. */
    public CancellationFreshness(
            JobDirectory directory, Peers peers, EventLoop loop, Timeouts timeouts) {
        this.directory = directory;
        this.peers = peers;
        this.loop = loop;
        this.timeouts = timeouts;
        presumedKnownAt = loop.now() - timeouts.cancellationKnowledgeValiditySeconds() / 2;
    }

    /**
     * Begins to check at a fixed interval. Reads the job records where no user's query makes this
     * controller read them and the peers' confirmations are not recent enough.
     */
    public void start() {
        loop.after(timeouts.leaderRenewIntervalSeconds(), this::start);
        if (ageSeconds() > timeouts.workerLeaseSeconds() / READS_PER_LEASE) {
            directory.readBarrier(current -> {});
        }
        logChange();
    }

    private void logChange() {
        if (wasFresh != isFresh()) {
            wasFresh = !wasFresh;
            LOG.warn(
                    wasFresh
                            ? "cancellations are known again: heartbeats are answered"
                            : "cancellations of the last {} s may be unknown here: no heartbeat is answered",
                    Math.round(ageSeconds()));
        }
    }

    /**
     * Whether a lease renewed now ends before a cancellation not known here has to have taken
     * effect.
     */
    public boolean isFresh() {
        return ageSeconds() < timeouts.cancellationKnowledgeValiditySeconds();
    }

    /**
     * For how many seconds a cancellation may have been committed without being known here. Known
     * is what a read of the key-value store has returned, or what all peers have sent, each of
     * which has read the job records since it was started.
     *
     * <p>A process that has just started, and may not reach the key-value store yet, presumes that
     * what was cancelled some time before has taken effect: whoever committed it broadcast it
     * first, and the leader stops tasks at once. Only some time before, since the last
     * cancellations reached nobody if all controllers crashed while one of them alone was refused.
     */
    public double ageSeconds() {
        double confirmedAt =
                directory.isLoaded() ? peers.cancellationsKnownUntil() : Double.NEGATIVE_INFINITY;
        double knownAt = Math.max(directory.currentAsOf(), confirmedAt);
        return loop.now() - Math.max(presumedKnownAt, knownAt);
    }
}
