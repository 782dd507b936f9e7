package org.springmill.transport;

/**
 * The event loop that owns all state of a controller: a steady clock and timers whose tasks run one
 * at a time. Timers may fire late and every user has to tolerate that.
 */
public interface EventLoop {

    /** Seconds on the steady clock, from an arbitrary start. */
    double now();

    /**
     * Seconds of the time of day, which other controllers share within the bound of the settings.
     */
    double timeOfDay();

    /** Runs a task once so many seconds have passed. */
    Timer after(double seconds, Runnable task);

    /** A pending task; cancelling one that has run does nothing. */
    interface Timer {
        /** The task will not run. */
        void cancel();
    }
}
