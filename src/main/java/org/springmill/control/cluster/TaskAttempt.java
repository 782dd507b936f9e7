package org.springmill.control.cluster;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.WorkerMessages.ExitCause;

/**
 * One decision to run a task on a machine, from the claim to the committed proof that it is gone.
 */
public final class TaskAttempt {
    private static final Logger LOG = LoggerFactory.getLogger(TaskAttempt.class);

    public enum State {
        /** Placed; the round that claims it is not yet committed. */
        CLAIMING,
        /** Committed; no start was sent. */
        CLAIMED,
        /** A start was sent and is not confirmed. */
        SENT,
        FETCHING,
        RUNNING,
        /** Told to stop; it may still run, save, or never have started. */
        STOPPING,
        /** Unconfirmed past its window: not sent again, but settled from the worker's reports. */
        UNKNOWN,
        /** Known to have ended, or to be gone; the round that says so is not yet committed. */
        ENDED,
        /** The end is committed. */
        CLOSED;

        private boolean mayBecome(State next) {
            return switch (next) {
                case CLAIMING -> false;
                case CLAIMED -> this == CLAIMING;
                case SENT -> this == CLAIMED;
                // A report may show more than one step at once, and a rebuilt claim starts out as
                // unknown.
                case FETCHING -> this == SENT || this == UNKNOWN;
                case RUNNING -> this == SENT || this == UNKNOWN || this == FETCHING;
                case STOPPING ->
                        this == CLAIMED
                                || this == SENT
                                || this == FETCHING
                                || this == RUNNING
                                || this == UNKNOWN;
                case UNKNOWN -> this == CLAIMING || this == SENT;
                case ENDED -> this != CLAIMING && this != CLOSED && this != ENDED;
                case CLOSED -> this == ENDED;
            };
        }
    }

    private final Claim claim;
    private final Job job;
    private final Machine machine;
    private State state = State.CLAIMING;
    private ExitCause cause = ExitCause.NONE;
    private long highestStartToken;
    private long startEpoch;
    private final double claimedAt;
    private double stateSince;
    private double nextSendAt;
    private double runningSince;
    private double graceSeconds;
    private boolean isMigrating;
    private boolean stopRequested;
    private boolean recalled;
    private double lastReported = Double.NEGATIVE_INFINITY;
    private boolean released;

    public TaskAttempt(Claim claim, Job job, Machine machine, double now) {
        this.claim = claim;
        this.job = job;
        this.machine = machine;
        this.claimedAt = now;
        this.stateSince = now;
    }

    public Claim claim() {
        return claim;
    }

    public Job job() {
        return job;
    }

    public Machine machine() {
        return machine;
    }

    public State state() {
        return state;
    }

    public ExitCause cause() {
        return cause;
    }

    public double stateSince() {
        return stateSince;
    }

    public double claimedAt() {
        return claimedAt;
    }

    /** When a report named it last. */
    public double lastReported() {
        return lastReported;
    }

    public void recordReported(double now) {
        lastReported = now;
    }

    /** For how long its task has been seen to run; 0 if it does not. */
    public double ranSeconds(double now) {
        return state == State.RUNNING ? now - runningSince : 0;
    }

    double runningSince() {
        return runningSince;
    }

    /** The one place where an attempt's state changes; false if the change is not a legal one. */
    public boolean transition(State next, double now) {
        if (!state.mayBecome(next)) {
            if (state != next) {
                LOG.error(
                        "{} attempt {} cannot go from {} to {}",
                        claim.task(),
                        claim.round(),
                        state,
                        next);
            }
            return false;
        }
        LOG.debug(
                "{} attempt {} on {}: {} -> {}",
                claim.task(),
                claim.round(),
                claim.machine(),
                state,
                next);
        state = next;
        stateSince = now;
        if (next == State.RUNNING) {
            runningSince = now;
        }
        return true;
    }

    public boolean end(ExitCause why, double now) {
        if (!transition(State.ENDED, now)) {
            return false;
        }
        cause = why;
        return true;
    }

    /**
     * The highest token that a command to start it may have carried; it cannot start under a higher
     * one.
     */
    public long highestStartToken() {
        return highestStartToken;
    }

    public void recordStartSent(long token, long toSession) {
        highestStartToken = Math.max(highestStartToken, token);
        startEpoch = toSession;
    }

    /** The worker's session its starts were sent to; 0 if an earlier leader sent them. */
    public long startEpoch() {
        return startEpoch;
    }

    public double nextSendAt() {
        return nextSendAt;
    }

    public void scheduleResend(double at) {
        nextSendAt = at;
    }

    public double graceSeconds() {
        return graceSeconds;
    }

    void setGraceSeconds(double seconds) {
        graceSeconds = seconds;
        nextSendAt = 0;
    }

    /** Notes whether its team's usage counts it as leaving; true if that is a change. */
    boolean markStopRequested(boolean now) {
        boolean change = stopRequested != now;
        stopRequested = now;
        return change;
    }

    /** Whether a recall stops it, or will once it is committed. */
    public boolean recalled() {
        return recalled;
    }

    public void markRecalled(boolean now) {
        recalled = now;
    }

    /** Whether its machine's room counts as free although its end is not committed yet. */
    public boolean released() {
        return released;
    }

    void markReleased() {
        released = true;
    }

    /** Stopped to run elsewhere, so that it should not be stopped for anything else again. */
    public boolean isMigrating() {
        return isMigrating;
    }

    public void markMigrating() {
        isMigrating = true;
    }
}
