package org.springmill.transport;

/**
 * The event loop that owns all state of a controller: a monotonic clock, and timers whose tasks run
 * one at a time. Timers may fire late; every caller has to tolerate that.
 */
public interface EventLoop {

    /**
     * Seconds on the monotonic clock, from an arbitrary origin.
     *
     * @return seconds, which never decrease
     */
    double now();

    /**
     * Time of day, in seconds since 1970; the clocks of the controllers agree within the skew bound
     * of the settings.
     *
     * @return seconds, which may jump
     */
    double timeOfDay();

    /**
     * Runs a task once after a delay.
     *
     * @param seconds the delay; 0 or less runs it as soon as the loop is free
     * @param task what to run
     * @return the pending task
     */
    Timer after(double seconds, Runnable task);

    /** A pending task. */
    interface Timer {
        /** Cancels the task; does nothing if it has run. */
        void cancel();
    }
}
