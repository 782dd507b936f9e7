package org.springmill.control.scheduling;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.storage.Claim;
import org.springmill.control.storage.RoundLog;
import org.springmill.control.storage.RoundLog.ClaimEnd;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.transport.EventLoop;

/**
 * Runs the rounds of a leader: claims and ends of attempts are committed in one transaction, one
 * round at a time, before anything is sent to a worker.
 */
public final class PlacementRounds {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementRounds.class);

    /** Is notified of the outcomes of rounds. */
    public interface Listener {
        /**
         * Called once a round is committed and applied to the cluster state.
         *
         * @param commitStartedAt when its commit began, in seconds on the event loop's clock
         */
        void committed(List<TaskAttempt> claimed, List<TaskAttempt> ended, double commitStartedAt);

        /**
         * Called if the key-value store rejects a round's transaction because another leader has
         * taken over.
         */
        void rejected();
    }

    /**
     * What one round commits.
     *
     * @param policyWrites writes of the preemption policy
     */
    private record Round(
            long number,
            List<TaskAttempt> claimed,
            List<TaskAttempt> ended,
            List<Write> policyWrites) {
        boolean isEmpty() {
            return ended.isEmpty() && claimed.isEmpty() && policyWrites.isEmpty();
        }

        List<Claim> claims() {
            return claimed.stream().map(TaskAttempt::claim).toList();
        }

        List<ClaimEnd> ends() {
            return ended.stream().map(Round::end).toList();
        }

        private static ClaimEnd end(TaskAttempt attempt) {
            return new ClaimEnd(attempt.claim(), attempt.exitCause() == ExitCause.DONE);
        }
    }

    private final Fleet fleet;
    private final Placement placement;
    private final PreemptionPolicy preemption;
    private final RoundLog roundLog;
    private final Leadership leadership;
    private final EventLoop loop;
    private final double minIntervalSeconds;
    private final CompletionBatching completionBatching;
    private final Listener listener;
    private boolean committing;
    private boolean roundRequested;
    private boolean roundScheduled;
    private boolean retryScheduled;
    private boolean closed;
    private double lastRoundAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates the rounds of one leader's term.
     *
     * @param minIntervalSeconds minimum time between the starts of two rounds
     */
    public PlacementRounds(
            Fleet fleet,
            Placement placement,
            PreemptionPolicy preemption,
            RoundLog roundLog,
            Leadership leadership,
            EventLoop loop,
            double minIntervalSeconds,
            Listener listener) {
        this.fleet = fleet;
        this.placement = placement;
        this.preemption = preemption;
        this.roundLog = roundLog;
        this.leadership = leadership;
        this.loop = loop;
        this.minIntervalSeconds = minIntervalSeconds;
        this.completionBatching = new CompletionBatching(minIntervalSeconds);
        this.listener = listener;
    }

    /** Runs no further rounds. */
    public void close() {
        closed = true;
    }

    /**
     * Requests a round. It runs as soon as the minimum interval since the start of the last round
     * has passed, which follows from the key-value store's rate limit.
     */
    public void request() {
        roundRequested = true;
        if (!roundScheduled && !committing && !closed) {
            roundScheduled = true;
            loop.after(Math.max(0, lastRoundAt + minIntervalSeconds - loop.now()), this::run);
        }
    }

    private void run() {
        roundScheduled = false;
        if (closed || committing || !roundRequested || !leadership.mayPlace()) {
            return;
        }
        if (postponeCompletions()) {
            return;
        }
        roundRequested = false;
        lastRoundAt = loop.now();
        Round round = decide();
        if (!round.isEmpty()) {
            commit(round);
        }
    }

    private Round decide() {
        List<TaskAttempt> ended = fleet.clusterState().pollEnded(roundLog.endsPerRound());
        preemption.release(ended);
        long number = roundLog.nextNumber();
        List<TaskAttempt> claimed = placement.place(number, roundLog.maxClaimsWith(ended.size()));
        List<Write> policyWrites = preemption.decide(number, claimed);
        return new Round(number, claimed, ended, policyWrites);
    }

    private void commit(Round round) {
        committing = true;
        double commitStartedAt = loop.now();
        roundLog.append(
                round.claims(),
                round.ends(),
                round.policyWrites(),
                () -> {
                    committing = false;
                    LOG.debug(
                            "round {} committed: {} claims, {} ends",
                            round.number(),
                            round.claimed().size(),
                            round.ended().size());
                    applyCommitted(round, commitStartedAt);
                },
                listener::rejected);
    }

    /** Postpones a round that would commit only ends on which nothing depends; true if it did. */
    private boolean postponeCompletions() {
        if (!fleet.clusterState().hasEnded()) {
            return false;
        }
        boolean hasWaitingTasks = placement.hasWaitingTasks();
        double seconds =
                completionBatching.postponeSeconds(
                        fleet.clusterState().ended(), hasWaitingTasks, loop.now());
        if (seconds == 0) {
            return false;
        }
        if (!retryScheduled) {
            retryScheduled = true;
            loop.after(seconds, this::retryPostponed);
        }
        return true;
    }

    private void retryPostponed() {
        retryScheduled = false;
        request();
    }

    private void applyCommitted(Round round, double commitStartedAt) {
        double now = loop.now();
        round.ended().forEach(attempt -> close(attempt, now));
        round.claimed().forEach(attempt -> confirmClaim(attempt, now));
        preemption.committed();
        listener.committed(round.claimed(), round.ended(), commitStartedAt);
        request();
    }

    private void close(TaskAttempt attempt, double now) {
        if (attempt.exitCause() == ExitCause.DONE) {
            attempt.job().markDone(attempt.claim().task().index());
        }
        attempt.transition(TaskAttempt.State.CLOSED, now);
        fleet.clusterState().remove(attempt, now);
    }

    private void confirmClaim(TaskAttempt attempt, double now) {
        attempt.transition(TaskAttempt.State.CLAIMED, now);
        boolean machineIsUsable =
                attempt.machine().state() == Machine.State.UP
                        && !attempt.machine().hasPreemptionNotice();
        if (!attempt.job().isActive() || !machineIsUsable) {
            // The job or the machine became unusable during the commit. No start was sent, so the
            // attempt ends here.
            fleet.end(attempt, ExitCause.STOPPED);
        }
    }
}
