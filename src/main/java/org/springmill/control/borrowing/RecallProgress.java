package org.springmill.control.borrowing;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state machine of a recall from its decision until it is settled, with a timeout per state.
 */
public final class RecallProgress {
    private static final Logger LOG = LoggerFactory.getLogger(RecallProgress.class);

    /** The state of a recall. */
    public enum State {
        /**
         * Decided; the round that holds it is not committed yet, and no victim was told to stop. Or
         * committed by an earlier leader, of whose stop commands nothing is known yet.
         */
        COMMITTING,
        /** Committed; the victims are told to stop and may write a checkpoint. */
        SAVING,
        /** The grace period is over; the victims are told to stop without a checkpoint. */
        ENDING,
        /** Over; the record is removed with the next round. */
        SETTLED;

        private boolean mayTransitionTo(State next) {
            return switch (next) {
                case COMMITTING -> false;
                case SAVING -> this == COMMITTING;
                case ENDING -> this == SAVING;
                case SETTLED -> this != SETTLED;
            };
        }
    }

    /** How a recall ended. */
    public enum Outcome {
        /** The beneficiary's claim is committed together with the end of its reservation. */
        FULFILLED,
        /** The demand fell before any victim was told to stop. */
        TAKEN_BACK,
        /** The demand fell after the victims were told to stop. */
        WITHDRAWN,
        /** The victims were not proven to have ended in time, or their machine is unschedulable. */
        EXPIRED
    }

    private final Recall recall;
    private final double checkpointTimeoutSeconds;
    private final double terminationTimeoutSeconds;
    private State state = State.COMMITTING;
    private double deadline = Double.POSITIVE_INFINITY;

    /**
     * A recall that has been decided.
     *
     * @param checkpointTimeoutSeconds bound on the time for checkpoints, from the commit on
     * @param terminationTimeoutSeconds bound on the time after that, until the victims are proven
     *     to have ended
     */
    public RecallProgress(
            Recall recall, double checkpointTimeoutSeconds, double terminationTimeoutSeconds) {
        this.recall = recall;
        this.checkpointTimeoutSeconds = checkpointTimeoutSeconds;
        this.terminationTimeoutSeconds = terminationTimeoutSeconds;
    }

    /** The recall. */
    public Recall recall() {
        return recall;
    }

    /** The present state. */
    public State state() {
        return state;
    }

    /** The only place where the state changes; false if the transition is illegal. */
    private boolean transition(State next, double now) {
        if (!state.mayTransitionTo(next)) {
            LOG.error("recall {}: illegal transition {} -> {}", recall.key(), state, next);
            return false;
        }
        LOG.debug("recall {} on {}: {} -> {}", recall.key(), recall.machine(), state, next);
        state = next;
        deadline =
                switch (next) {
                    case SAVING -> now + checkpointTimeoutSeconds;
                    case ENDING -> now + terminationTimeoutSeconds;
                    default -> Double.POSITIVE_INFINITY;
                };
        return true;
    }

    /**
     * An earlier leader committed it. Whether the victims were told to stop is unknown until their
     * workers have sent a heartbeat.
     *
     * @param seconds after which the recall is abandoned without these heartbeats
     */
    public void recovered(double seconds, double now) {
        deadline = now + seconds;
    }

    /**
     * Its record is committed, so the victims may be told to stop; false if that is illegal now.
     */
    public boolean committed(double now) {
        return transition(State.SAVING, now);
    }

    /** The grace period is over; false if that is illegal now. */
    public boolean graceEnded(double now) {
        return transition(State.ENDING, now);
    }

    /** The recall is over; false if it was already. */
    public boolean settle(double now) {
        return transition(State.SETTLED, now);
    }

    /** Whether the timeout of the present state has passed. */
    public boolean isOverdue(double now) {
        return now >= deadline;
    }
}
