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
    private final RoundLog log;
    private final Leadership leadership;
    private final EventLoop loop;
    private final double gapSeconds;
    private final CompletionBatching endBatching;
    private final Listener listener;
    private boolean committing;
    private boolean wanted;
    private boolean scheduled;
    private boolean postponed;
    private boolean closed;
    private double lastRound = Double.NEGATIVE_INFINITY;

    public PlacementRounds(
            Fleet fleet,
            Placement placement,
            PreemptionPolicy preemption,
            RoundLog log,
            Leadership leadership,
            EventLoop loop,
            double gapSeconds,
            Listener listener) {
        this.fleet = fleet;
        this.placement = placement;
        this.preemption = preemption;
        this.log = log;
        this.leadership = leadership;
        this.loop = loop;
        this.gapSeconds = gapSeconds;
        this.endBatching = new CompletionBatching(gapSeconds);
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
        wanted = true;
        if (!scheduled && !committing && !closed) {
            scheduled = true;
            loop.after(Math.max(0, lastRound + gapSeconds - loop.now()), this::run);
        }
    }

    private void run() {
        scheduled = false;
        if (closed || committing || !wanted || !leadership.mayPlace()) {
            return;
        }
        if (postponeEnds()) {
            return;
        }
        wanted = false;
        lastRound = loop.now();
        List<TaskAttempt> ended = fleet.clusterState().drainEnded(log.endsPerRound());
        preemption.release(ended);
        List<TaskAttempt> claimed = placement.place(log.next(), log.claimsBeside(ended.size()));
        List<Write> attached = preemption.decide(log.next(), claimed);
        if (ended.isEmpty() && claimed.isEmpty() && attached.isEmpty()) {
            return;
        }
        List<Claim> claims = new ArrayList<>();
        claimed.forEach(attempt -> claims.add(attempt.claim()));
        List<End> ends = new ArrayList<>();
        ended.forEach(
                attempt -> ends.add(new End(attempt.claim(), attempt.cause() == ExitCause.DONE)));
        committing = true;
        long number = log.next();
        double since = loop.now();
        log.append(
                claims,
                ends,
                attached,
                () -> {
                    committing = false;
                    LOG.debug("round {}: {} claims, {} ends", number, claimed.size(), ended.size());
                    committed(claimed, ended, since);
                },
                listener::lost);
    }

    /** Puts off a round that would hold only ends on which nothing depends. */
    private boolean postponeEnds() {
        if (!fleet.clusterState().hasEnded()) {
            return false;
        }
        boolean workWaits = placement.anyWaiting();
        double seconds =
                endBatching.postponeSeconds(fleet.clusterState().ended(), workWaits, loop.now());
        if (seconds == 0) {
            return false;
        }
        if (!postponed) {
            postponed = true;
            loop.after(seconds, this::resume);
        }
        return true;
    }

    private void resume() {
        postponed = false;
        request();
    }

    private void committed(List<TaskAttempt> claimed, List<TaskAttempt> ended, double since) {
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
