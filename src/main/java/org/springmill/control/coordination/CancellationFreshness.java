package org.springmill.control.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.transport.Loop;

/**
 * Up to when this controller knows every cancellation that any user was told of. Whoever renews a
 * lease long after that may be keeping a cancelled task alive: the state service can refuse one
 * controller alone, have another confirm cancellations, and then be down for all. docs/design.md
 * has the argument.
 */
final class CancellationFreshness {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationFreshness.class);

    private final JobDirectory directory;
    private final Peers peers;
    private final Loop loop;
    private final Timing timing;
    private final double presumedAt;
    private boolean covered = true;

    CancellationFreshness(JobDirectory directory, Peers peers, Loop loop, Timing timing) {
        this.directory = directory;
        this.peers = peers;
        this.loop = loop;
        this.timing = timing;
        presumedAt = loop.now() - timing.unknowingS() / 2;
    }

    /**
     * Reads the job records now and then where nobody else asks for them and the others do not tell
     * enough.
     */
    void start() {
        loop.after(timing.renewS(), this::start);
        if (age() > timing.leaseS() / 4) {
            directory.barrier(current -> {});
        }
        if (covered != covers()) {
            covered = !covered;
            LOG.warn(
                    covered
                            ? "cancellations are known again: reports are answered"
                            : "cancellations of the last {} s may be unknown here: no report is answered",
                    Math.round(age()));
        }
    }

    /**
     * Whether a lease renewed now ends before a cancellation not known here has to have taken
     * effect.
     */
    boolean covers() {
        return age() < timing.unknowingS();
    }

    /**
     * By a served read, or by the word of all others, each of which has read the job records since
     * it was started. A process that has just started, and may not reach the state service yet,
     * presumes that what was cancelled some time before is dealt with: whoever confirmed it told
     * the others first, and the leader stops tasks at once. Only some time before, for where all
     * controllers crashed in the middle of a gap the last cancellations were told to nobody.
     */
    double age() {
        double told = directory.loaded() ? peers.toldUntil() : Double.NEGATIVE_INFINITY;
        return loop.now() - Math.max(presumedAt, Math.max(directory.currentAt(), told));
    }
}
