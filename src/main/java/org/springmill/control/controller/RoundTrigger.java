package org.springmill.control.controller;

import org.springmill.control.scheduling.PlacementRounds;

/**
 * Lets components request placement rounds although {@link PlacementRounds} depends on them: {@link
 * #bind} resolves the circular dependency.
 */
final class RoundTrigger {
    private final TermLifecycle lifecycle;
    private Runnable requestRound = () -> {};

    RoundTrigger(TermLifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    /** Sets what {@link #request} calls. */
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
