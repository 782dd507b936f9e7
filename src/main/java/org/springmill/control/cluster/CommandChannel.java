package org.springmill.control.cluster;

/**
 * The state of sending commands to one worker: one request at a time, with pauses after failures.
 * Times are seconds on the leader's steady clock.
 */
public final class CommandChannel {
    private boolean requestInFlight;
    private boolean statusRequested;
    private final Throttle processChecks = new Throttle();
    private final Throttle tokenAnswers = new Throttle();
    private double nextRequestAt;
    private double nextUnknownTaskCleanupAt;

    /** Requests the worker's status even if no command is due. */
    public void requestStatus() {
        statusRequested = true;
    }

    /** Whether a request is to be sent even without a command. */
    public boolean isStatusRequested() {
        return statusRequested;
    }

    /** Limits the questions whether the worker's process was replaced. */
    public Throttle processChecks() {
        return processChecks;
    }

    /** Limits the answers to heartbeats without a token that may be delayed duplicates. */
    public Throttle tokenAnswers() {
        return tokenAnswers;
    }

    /** Whether a request was sent that has neither been answered nor timed out. */
    public boolean isRequestInFlight() {
        return requestInFlight;
    }

    /** Whether a request may be sent now. */
    public boolean isReady(double now) {
        return !requestInFlight && now >= nextRequestAt;
    }

    /** Records that a request was sent; its response also carries the worker's status. */
    public void requestSent() {
        statusRequested = false;
        requestInFlight = true;
    }

    /** Records that the request was answered, or timed out. */
    public void requestEnded() {
        requestInFlight = false;
    }

    /** Sends nothing before the given time. */
    public void pauseUntil(double time) {
        nextRequestAt = time;
    }

    /** Whether commands that remove unknown tasks may be sent now. */
    public boolean isCleanupDue(double now) {
        return now >= nextUnknownTaskCleanupAt;
    }

    /** Sends no commands that remove unknown tasks before the given time. */
    public void postponeCleanupUntil(double time) {
        nextUnknownTaskCleanupAt = time;
    }
}
