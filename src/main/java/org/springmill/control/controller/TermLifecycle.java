package org.springmill.control.controller;

import java.util.Map;
import java.util.Set;
import org.springmill.control.workers.HeartbeatHandler;

/** The state machine of one term of leadership. */
final class TermLifecycle implements HeartbeatHandler.TermStatus {
    /** The phases of a term, in their order. */
    enum State {
        /**
         * The state that earlier leaders committed is being read. Leases are renewed; nothing is
         * placed.
         */
        RECOVERING,
        /** The cluster state is complete: tasks are placed and workers are reconciled. */
        ACTIVE,
        /** The term is over; nothing more may be sent or written for it. */
        CLOSED
    }

    private static final Map<State, Set<State>> LEGAL_TRANSITIONS =
            Map.of(
                    State.RECOVERING, Set.of(State.ACTIVE, State.CLOSED),
                    State.ACTIVE, Set.of(State.CLOSED),
                    State.CLOSED, Set.of());

    private State state = State.RECOVERING;

    /** Records that the cluster state has been recovered. */
    void activate() {
        transition(State.ACTIVE);
    }

    /** Records that the term is over. */
    void close() {
        transition(State.CLOSED);
    }

    private void transition(State next) {
        if (!LEGAL_TRANSITIONS.get(state).contains(next)) {
            throw new IllegalStateException("a term cannot go from " + state + " to " + next);
        }
        state = next;
    }

    @Override
    public boolean isActive() {
        return state == State.ACTIVE;
    }

    @Override
    public boolean isClosed() {
        return state == State.CLOSED;
    }
}
