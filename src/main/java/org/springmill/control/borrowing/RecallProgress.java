package org.springmill.control.borrowing;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A recall from its decision until it is settled, with the bounds on each step. */
public final class RecallProgress {
    private static final Logger LOG = LoggerFactory.getLogger(RecallProgress.class);

    /** Where a recall stands. */
    public enum State {
        /**
         * Decided; the round that holds it is not yet committed, and nobody was told to stop. Or
         * committed by an earlier leader, of whose halts nothing is known yet.
         */
        COMMITTING,
        /** Committed; the victims are told to stop and may save. */
        SAVING,
        /** The grace period is over: victims are told to stop without saving. */
        ENDING,
        /** Over: the record is removed with the next round. */
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
        /** The beneficiary's claim is committed with the end of the promise. */
        FULFILLED,
        /** The demand fell before anyone was told to stop. */
        TAKEN_BACK,
        /** The demand fell after the victims were told to stop. */
        WITHDRAWN,
        /** The victims were not proven gone in time, or their machine takes no work any more. */
        EXPIRED
    }

    private final Recall recall;
    private final double checkpointTimeoutSeconds;
    private final double terminationTimeoutSeconds;
    private State state = State.COMMITTING;
    private double deadline = Double.POSITIVE_INFINITY;

    /**
     * @param saveSeconds bound on the time in which victims save, from the commit on
     * @param endSeconds bound on the time in which they are proven gone after that
     */
    public RecallProgress(Recall recall, double saveSeconds, double endSeconds) {
        this.recall = recall;
        this.checkpointTimeoutSeconds = saveSeconds;
        this.terminationTimeoutSeconds = endSeconds;
    }

    /** The recall. */
    public Recall recall() {
        return recall;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** The one place where its state changes; false if the change is not a legal one. */
    private boolean transition(State next, double now) {
        if (!state.mayTransitionTo(next)) {
            LOG.error("recall {} cannot go from {} to {}", recall.key(), state, next);
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
     * An earlier leader committed it. Whether the victims were told is unknown until their workers
     * have reported.
     *
     * @param seconds after which it is given up if they have not
     */
    public void inherited(double seconds, double now) {
        deadline = now + seconds;
    }

    /** Its record is committed, so the victims may be told. */
    public boolean committed(double now) {
        return transition(State.SAVING, now);
    }

    /** The grace period is over. */
    public boolean graceEnded(double now) {
        return transition(State.ENDING, now);
    }

    /** It is over. */
    public boolean settle(double now) {
        return transition(State.SETTLED, now);
    }

    /** Whether the bound of the present step has passed. */
    public boolean overdue(double now) {
        return now >= deadline;
    }
}
