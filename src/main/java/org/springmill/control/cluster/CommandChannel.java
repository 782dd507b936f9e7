package org.springmill.control.cluster;

/**
 * The state of sending commands to one worker: one request at a time, with pauses after failures.
 * Times are seconds on the leader's steady clock.
 */
public final class CommandChannel {
    private boolean requestInFlight;
    private boolean statusRequested;
    private double nextProcessCheckAt = Double.NEGATIVE_INFINITY;
    private double nextTokenAnswerAt = Double.NEGATIVE_INFINITY;
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

    /**
     * Whether the worker may be asked now whether its process was replaced. If so, it may not be
     * asked for the same reason again before the interval is over.
     */
    public boolean beginProcessCheck(double now, double intervalSeconds) {
        boolean mayCheck = now >= nextProcessCheckAt;
        if (mayCheck) {
            nextProcessCheckAt = now + intervalSeconds;
        }
        return mayCheck;
    }

    /**
     * Whether a heartbeat without a token may be answered now although it may be a delayed
     * duplicate. If so, no other one may before the interval is over.
     */
    public boolean beginTokenAnswer(double now, double intervalSeconds) {
        boolean mayAnswer = now >= nextTokenAnswerAt;
        if (mayAnswer) {
            nextTokenAnswerAt = now + intervalSeconds;
        }
        return mayAnswer;
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
