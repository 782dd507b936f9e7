package org.springmill.control.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TermLifecycleTest {
    private final TermLifecycle lifecycle = new TermLifecycle();

    @Test
    void aNewTermIsNeitherActiveNorClosed() {
        assertFalse(lifecycle.isActive());
        assertFalse(lifecycle.isClosed());
    }

    @Test
    void aRecoveredTermIsActiveUntilItIsClosed() {
        lifecycle.activate();
        assertTrue(lifecycle.isActive());

        lifecycle.close();
        assertFalse(lifecycle.isActive());
        assertTrue(lifecycle.isClosed());
    }

    @Test
    void aTermMayCloseBeforeItIsRecovered() {
        lifecycle.close();

        assertTrue(lifecycle.isClosed());
    }

    @Test
    void aClosedTermCannotBecomeActive() {
        lifecycle.close();

        IllegalStateException illegal =
                assertThrows(IllegalStateException.class, lifecycle::activate);

        assertEquals("a term cannot go from CLOSED to ACTIVE", illegal.getMessage());
        assertTrue(lifecycle.isClosed());
    }
}
