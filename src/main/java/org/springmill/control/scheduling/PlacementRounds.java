package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.storage.Claim;
import org.springmill.control.storage.RoundLog;
import org.springmill.control.storage.RoundLog.End;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.transport.EventLoop;

/**
 * Runs rounds: placement and ends are committed together, one commit at a time, before anything is
 * sent.
 */
public final class PlacementRounds {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementRounds.class);

    /** What follows from a committed round. */
    public interface Listener {
        void committed(List<TaskAttempt> claimed, List<TaskAttempt> ended, double since);

        void lost();
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

    public void close() {
        closed = true;
    }

    /**
     * Asks for a round soon: at once if none ran lately, else after the gap that the state
     * service's limits allow.
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
        List<TaskAttempt> ended = fleet.clusterState().drainEnded(roundLog.endsPerRound());
        preemption.release(ended);
        List<TaskAttempt> claimed =
                placement.place(roundLog.next(), roundLog.claimsBeside(ended.size()));
        List<Write> attached = preemption.decide(roundLog.next(), claimed);
        if (ended.isEmpty() && claimed.isEmpty() && attached.isEmpty()) {
            return;
        }
        List<Claim> claims = new ArrayList<>();
        claimed.forEach(attempt -> claims.add(attempt.claim()));
        List<End> ends = new ArrayList<>();
        ended.forEach(
                attempt -> ends.add(new End(attempt.claim(), attempt.cause() == ExitCause.DONE)));
        committing = true;
        long number = roundLog.next();
        double since = loop.now();
        roundLog.append(
                claims,
                ends,
                attached,
                () -> {
                    committing = false;
                    LOG.debug("round {}: {} claims, {} ends", number, claimed.size(), ended.size());
                    applyCommitted(claimed, ended, since);
                },
                listener::lost);
    }

    /** Puts off a round that would hold only ends on which nothing depends. */
    private boolean postponeCompletions() {
        if (!fleet.clusterState().hasEnded()) {
            return false;
        }
        boolean workWaits = placement.anyWaiting();
        double seconds =
                completionBatching.postponeSeconds(
                        fleet.clusterState().ended(), workWaits, loop.now());
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

    private void applyCommitted(List<TaskAttempt> claimed, List<TaskAttempt> ended, double since) {
        double now = loop.now();
        for (TaskAttempt attempt : ended) {
            if (attempt.cause() == ExitCause.DONE) {
                attempt.job().markDone(attempt.claim().task().index());
            }
            attempt.transition(TaskAttempt.State.CLOSED, now);
            fleet.clusterState().remove(attempt, now);
        }
        for (TaskAttempt attempt : claimed) {
            attempt.transition(TaskAttempt.State.CLAIMED, now);
            boolean machineThere =
                    attempt.machine().state() == Machine.State.UP
                            && !attempt.machine().hasPreemptionNotice();
            if (!attempt.job().active() || !machineThere) {
                // Overtaken while the round was committed: nothing was sent, so it is over.
                fleet.end(attempt, ExitCause.STOPPED);
            }
        }
        preemption.committed();
        listener.committed(claimed, ended, since);
        request();
    }
}
