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
         * Decided, but the round that contains it is not committed yet, so no victim was sent a
         * stop command. Or committed by an earlier leader, as long as it is unknown whether that
         * leader sent stop commands.
         */
        COMMITTING,
        /** Committed; the victims are sent stop commands and may write a checkpoint. */
        SAVING,
        /** The grace period is over; the victims are stopped without a checkpoint. */
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
        /**
         * Cancelled after the commit and before this leader sent stop commands: demand fell, or a
         * team would have been left below its entitlement.
         */
        TAKEN_BACK,
        /** Demand fell later, in most cases after the victims were sent stop commands. */
        WITHDRAWN,
        /**
         * The victims were not confirmed to have ended in time, or their machine is unschedulable.
         */
        EXPIRED
    }

    private final Recall recall;
    private final double checkpointTimeoutSeconds;
    private final double terminationTimeoutSeconds;
    private State state = State.COMMITTING;
    private double deadline = Double.POSITIVE_INFINITY;

    /**
     * Creates the state of a recall that has been decided.
     *
     * @param checkpointTimeoutSeconds time allowed for checkpoints, from the commit on
     * @param terminationTimeoutSeconds time allowed after that until the victims are confirmed to
     *     have ended
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

    /** The current state. */
    public State state() {
        return state;
    }

    /** The only place where the state changes; false if the transition is illegal. */
    private boolean transition(State next, double now) {
        if (!state.mayTransitionTo(next)) {
            LOG.error(
                    "recall {}: illegal transition {} -> {}, state unchanged",
                    recall.key(),
                    state,
                    next);
            return false;
        }
        LOG.debug("recall {} on machine {}: {} -> {}", recall.key(), recall.machine(), state, next);
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
     * Records that an earlier leader committed the recall. Whether the victims were sent stop
     * commands is unknown until their workers have sent a heartbeat.
     *
     * @param seconds time after which the recall is abandoned if these heartbeats are missing
     */
    public void recovered(double seconds, double now) {
        deadline = now + seconds;
    }

    /**
     * Records that the recall is committed, so that its victims may be stopped; false if the
     * transition is illegal.
     */
    public boolean committed(double now) {
        return transition(State.SAVING, now);
    }

    /** Records that the grace period is over; false if the transition is illegal. */
    public boolean graceEnded(double now) {
        return transition(State.ENDING, now);
    }

    /** Settles the recall; false if it was settled already. */
    public boolean settle(double now) {
        return transition(State.SETTLED, now);
    }

    /** Whether the timeout of the current state has passed. */
    public boolean isOverdue(double now) {
        return now >= deadline;
    }
}
