package org.springmill.control.controller;

import org.springmill.control.scheduling.PlacementRounds;

/**
 * Requests placement rounds for components that the rounds themselves are built on: {@link #bind}
 * closes that cycle.
 */
final class RoundTrigger {
    private final TermLifecycle lifecycle;
    private Runnable requestRound = () -> {};

    RoundTrigger(TermLifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    /** Sets the rounds that are requested from now on. */
    void bind(PlacementRounds rounds) {
        requestRound = rounds::request;
    }

    /** Requests a round if the term is active. */
    void request() {
        if (lifecycle.isActive()) {
            requestRound.run();
        }
    }
}
