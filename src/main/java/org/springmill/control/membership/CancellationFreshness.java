package org.springmill.control.membership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Limits how stale this controller's knowledge of cancellations may be. A controller that does not
 * know recent cancellations may keep a cancelled task running by renewing its worker's lease: the
 * key-value store can refuse one controller alone, commit cancellations for another, and then be
 * down for all. docs/design.md has the argument.
 */
public final class CancellationFreshness {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationFreshness.class);

    /** Minimum number of reads of the job records during a worker's lease. */
    private static final int READS_PER_LEASE = 4;

    private final JobDirectory directory;
    private final Peers peers;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double presumedKnownAt;
    private boolean wasFresh = true;

    /** Creates the limit for a process that starts now. */
    public CancellationFreshness(
            JobDirectory directory, Peers peers, EventLoop loop, Timeouts timeouts) {
        this.directory = directory;
        this.peers = peers;
        this.loop = loop;
        this.timeouts = timeouts;
        presumedKnownAt = loop.now() - timeouts.cancellationKnowledgeValiditySeconds() / 2;
    }

    /**
     * Starts checking at a fixed interval. Reads the job records if neither a recent read nor
     * recent responses of the peers confirm that all cancellations are known.
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
     * Whether a lease renewed now expires before the deadline of any cancellation not known here.
     */
    public boolean isFresh() {
        return ageSeconds() < timeouts.cancellationKnowledgeValiditySeconds();
    }

    /**
     * Age of the oldest cancellation that may be unknown here, in seconds. All cancellations are
     * known up to the latest read of the key-value store, or up to the time for which every peer
     * has sent its own, having read the job records since it was started.
     *
     * <p>A process that has just started, and may not reach the key-value store yet, assumes that
     * cancellations older than half of {@code cancellationKnowledgeValiditySeconds} have taken
     * effect: they were broadcast when they were committed, and the leader stops tasks immediately.
     * It cannot assume this for newer ones, which are lost if all controllers crash while the
     * key-value store refuses one of them.
     */
    public double ageSeconds() {
        double confirmedAt =
                directory.isLoaded() ? peers.cancellationsKnownUntil() : Double.NEGATIVE_INFINITY;
        double knownAt = Math.max(directory.currentAsOf(), confirmedAt);
        return loop.now() - Math.max(presumedKnownAt, knownAt);
    }
}
