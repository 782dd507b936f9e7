package org.springmill.control.cluster;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.WorkerMessages.ExitCause;

/**
 * One decision to run a task on a machine, from the claim to the commit of its end. Times are
 * seconds on the leader's steady clock.
 */
public final class TaskAttempt {
    private static final Logger LOG = LoggerFactory.getLogger(TaskAttempt.class);

    /** The life cycle of an attempt. */
    public enum State {
        /** Placed; the round that claims it is not yet committed. */
        CLAIMING,
        /** The claim is committed; no start command was sent. */
        CLAIMED,
        /** A start command was sent and is not confirmed yet. */
        SENT,
        /** Its worker fetches the image. */
        FETCHING,
        /** Its worker has reported it as running. */
        RUNNING,
        /** A stop command is due or sent; it may still run, save a checkpoint, or never start. */
        STOPPING,
        /**
         * The start was not confirmed before the timeout. It is not sent again; reconciliation with
         * the worker's heartbeats shows whether the task runs.
         */
        UNKNOWN,
        /** Known not to run any more; the round that records its end is not yet committed. */
        ENDED,
        /** The end is committed. */
        CLOSED;

        private boolean mayBecome(State next) {
            return switch (next) {
                case CLAIMING -> false;
                case CLAIMED -> this == CLAIMING;
                case SENT -> this == CLAIMED;
                // An attempt may pass through several states between two heartbeats, and a claim
                // that is recovered at failover starts as UNKNOWN.
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
    private ExitCause exitCause = ExitCause.NONE;
    private long highestStartToken;
    private long startEpoch;
    private final double claimedAt;
    private double stateSince;
    private double nextSendAt;
    private double runningSince;
    private double graceSeconds;
    private boolean isMigrating;
    private boolean stopRequested;
    private boolean isRecalled;
    private double lastReportedAt = Double.NEGATIVE_INFINITY;
    private boolean isReleased;

    /** An attempt whose claim is not committed yet. */
    public TaskAttempt(Claim claim, Job job, Machine machine, double now) {
        this.claim = claim;
        this.job = job;
        this.machine = machine;
        this.claimedAt = now;
        this.stateSince = now;
    }

    /** The stored decision that this attempt carries out. */
    public Claim claim() {
        return claim;
    }

    /** The job that its task belongs to. */
    public Job job() {
        return job;
    }

    /** The machine that the claim names. */
    public Machine machine() {
        return machine;
    }

    /** Its state in the life cycle. */
    public State state() {
        return state;
    }

    /** Whether it may run, or start, on its machine: it is not known to have ended. */
    public boolean mayBeOnMachine() {
        return state != State.ENDED && state != State.CLOSED;
    }

    /** Why it ended; {@code NONE} until then. */
    public ExitCause exitCause() {
        return exitCause;
    }

    /** When its state last changed. */
    public double stateSince() {
        return stateSince;
    }

    /** When it was placed. */
    public double claimedAt() {
        return claimedAt;
    }

    /** When a heartbeat last named it; negative infinity for never. */
    public double lastReportedAt() {
        return lastReportedAt;
    }

    /** Records that a heartbeat names it. */
    public void recordStatusReported(double now) {
        lastReportedAt = now;
    }

    /** For how many seconds its task has been known to run; 0 if it does not run. */
    public double runningSeconds(double now) {
        return state == State.RUNNING ? now - runningSince : 0;
    }

    /** When it was first known to run; 0 for never. */
    double runningSince() {
        return runningSince;
    }

    /**
     * The only place where an attempt's state changes. A change that {@link State} does not allow
     * is not made, and logged as an error unless it is to the same state.
     *
     * @return whether the state changed
     */
    public boolean transition(State next, double now) {
        if (!state.mayBecome(next)) {
            if (state != next) {
                LOG.error(
                        "{} attempt {} cannot go from {} to {}; change ignored",
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

    /**
     * Moves it to {@code ENDED}.
     *
     * @return whether it had not ended before
     */
    public boolean end(ExitCause cause, double now) {
        if (!transition(State.ENDED, now)) {
            return false;
        }
        exitCause = cause;
        return true;
    }

    /**
     * The highest fencing token that a start command may have carried: once the worker has seen a
     * higher one, the attempt can no longer start.
     */
    public long highestStartToken() {
        return highestStartToken;
    }

    /** Records the fencing token of a start command and the worker epoch that it was sent to. */
    public void recordStartSent(long fencingToken, long workerEpoch) {
        highestStartToken = Math.max(highestStartToken, fencingToken);
        startEpoch = workerEpoch;
    }

    /** The worker epoch that its start command was sent to; 0 if an earlier leader sent it. */
    public long startEpoch() {
        return startEpoch;
    }

    /** No command for it is sent before this time. */
    public double nextSendAt() {
        return nextSendAt;
    }

    /** Sends no command for it before the given time. */
    public void scheduleResend(double at) {
        nextSendAt = at;
    }

    /** How long its task may still run after the stop command. */
    public double graceSeconds() {
        return graceSeconds;
    }

    /** Sets the grace, and makes the stop command that carries it due immediately. */
    void setGraceSeconds(double seconds) {
        graceSeconds = seconds;
        nextSendAt = 0;
    }

    /**
     * Sets whether it counts as being stopped in its team's usage.
     *
     * @return whether that is a change
     */
    boolean markStopRequested(boolean requested) {
        boolean change = stopRequested != requested;
        stopRequested = requested;
        return change;
    }

    /** Whether a recall stops it, or will stop it once the recall is committed. */
    public boolean isRecalled() {
        return isRecalled;
    }

    /** Sets whether a recall stops it. */
    public void markRecalled(boolean recalled) {
        isRecalled = recalled;
    }

    /** Whether its resources count as free although its end is not committed yet. */
    public boolean isReleased() {
        return isReleased;
    }

    void markReleased() {
        isReleased = true;
    }

    /** Whether it is being stopped to run on another machine; it is not preempted then. */
    public boolean isMigrating() {
        return isMigrating;
    }

    /** Records that it is being stopped to run on another machine. */
    public void markMigrating() {
        isMigrating = true;
    }
}
