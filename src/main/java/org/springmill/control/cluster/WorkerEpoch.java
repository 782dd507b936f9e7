package org.springmill.control.cluster;

import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * The epoch of one worker, the sequence number of its latest heartbeat, the fencing token of its
 * commands and the highest one in its heartbeats. See docs/design.md, section 5.
 *
 * <p>A worker's process may end and another may begin on the same machine, with epoch 1, sequence
 * number 1 and no token. Its messages look older than those of the process before it. See
 * docs/design.md, section 5.3.
 */
public final class WorkerEpoch {
    /** A fencing token is the term of a leader, followed by a counter with this many bits. */
    private static final int COUNTER_BITS = 20;

    private long fencingToken;
    private long highestSeenToken;
    private long epoch;
    private long lastAcceptedSequence;
    private long lastHeartbeatEpoch;
    private long lastHeartbeatSequence;

    /**
     * The lowest token that a message of the present process can show; 0 until a restart is
     * noticed. No earlier process has seen this token.
     */
    private long processToken;

    /** A token that was raised to find out whether the process was replaced; 0 for none. */
    private long challengeToken;

    /** The place of the newest message that had arrived when that token was raised. */
    private MessagePosition challengePosition = new MessagePosition(0, 0, 0);

    private double epochSeenAt = Double.NEGATIVE_INFINITY;
    private double currentTermSeenAt = Double.POSITIVE_INFINITY;

    WorkerEpoch(long term) {
        fencingToken = firstToken(term);
    }

    /** The first token that a leader of a term uses for each worker. */
    public static long firstToken(long term) {
        return (term << COUNTER_BITS) + 1;
    }

    /** The term that a token belongs to. */
    public static long termOf(long token) {
        return token >>> COUNTER_BITS;
    }

    long fencingToken() {
        return fencingToken;
    }

    /**
     * Raises the token. Commands that are still in transit are rejected once the worker has seen
     * the new one.
     */
    public void raiseFencingToken() {
        fencingToken++;
    }

    /** Raises the token, if need be, above another one of this term. */
    void raiseFencingTokenAbove(long token) {
        fencingToken = Math.max(fencingToken, token + 1);
    }

    /** Adopts a token of this term that a heartbeat carries, if it is higher. */
    public void adoptFencingToken(long seen) {
        fencingToken = Math.max(fencingToken, seen);
    }

    long epoch() {
        return epoch;
    }

    /** Whether a heartbeat is newer than all accepted ones, and of the same process. */
    public boolean isNewerThanSeen(Heartbeat heartbeat) {
        return isLaterInOrder(heartbeat) && showsHighestToken(heartbeat);
    }

    /**
     * Whether a heartbeat comes later in the order than all accepted ones but shows a lower token,
     * so that it is of another process.
     */
    public boolean hasLostToken(Heartbeat heartbeat) {
        return isLaterInOrder(heartbeat) && !showsHighestToken(heartbeat);
    }

    private boolean isLaterInOrder(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(epoch, lastAcceptedSequence);
    }

    private boolean showsHighestToken(Heartbeat heartbeat) {
        return heartbeat.fencingToken() >= Math.max(processToken, highestSeenToken);
    }

    /**
     * Whether the worker may still be waiting for the answer: it sends no heartbeat before the
     * previous one was answered or timed out. One that is not the latest is a delayed duplicate, or
     * is of another process.
     */
    public boolean isLatestHeartbeat(Heartbeat heartbeat) {
        return heartbeat.epoch() >= epoch
                && heartbeat.isNewerThan(lastHeartbeatEpoch, lastHeartbeatSequence)
                && heartbeat.fencingToken() >= processToken;
    }

    /** Records that a heartbeat arrived, whether it is accepted or not. */
    public void recordHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.isNewerThan(lastHeartbeatEpoch, lastHeartbeatSequence)) {
            lastHeartbeatEpoch = heartbeat.epoch();
            lastHeartbeatSequence = heartbeat.sequence();
        }
    }

    /** The place of the newest message that has arrived in the order of a process's messages. */
    public MessagePosition latestPosition() {
        MessagePosition accepted = new MessagePosition(processToken, epoch, lastAcceptedSequence);
        return accepted.latest(
                new MessagePosition(processToken, lastHeartbeatEpoch, lastHeartbeatSequence));
    }

    /** Whether no restart of the worker has been noticed since a position was taken. */
    public boolean isOfPresentProcess(MessagePosition position) {
        return position.processToken() == processToken;
    }

    /**
     * Raises the token to find out whether the worker's process was replaced: see {@link
     * #isOfNewProcess}.
     */
    public void challenge() {
        raiseFencingToken();
        challengeToken = fencingToken;
        challengePosition = latestPosition();
    }

    /**
     * Whether a heartbeat proves that the worker's process was replaced: it shows the token of the
     * challenge, but in the order it comes before a message that had arrived earlier. The process
     * that made that message cannot have made this one, since the token did not exist then.
     */
    public boolean isOfNewProcess(Heartbeat heartbeat) {
        return challengeToken > 0
                && heartbeat.fencingToken() >= challengeToken
                && termOf(heartbeat.fencingToken()) == termOf(challengeToken)
                && challengePosition.isOfAnotherProcess(heartbeat);
    }

    /**
     * Records that a worker's process has been replaced by another one. Messages of the earlier one
     * may still arrive; they show lower tokens than the one that commands carry from now on.
     *
     * @param shown a message of the new process, which is not accepted yet
     */
    public void beginProcess(Heartbeat shown, double now) {
        raiseFencingToken();
        processToken = fencingToken;
        challengeToken = 0;
        epoch = shown.epoch();
        lastAcceptedSequence = shown.sequence();
        lastHeartbeatEpoch = shown.epoch();
        lastHeartbeatSequence = 0;
        epochSeenAt = now;
        currentTermSeenAt = Double.POSITIVE_INFINITY;
    }

    /** Accepts a heartbeat that is newer than all before. */
    void accept(Heartbeat heartbeat, double now) {
        if (heartbeat.epoch() > epoch) {
            epochSeenAt = now;
        }
        epoch = heartbeat.epoch();
        lastAcceptedSequence = heartbeat.sequence();
        highestSeenToken = Math.max(highestSeenToken, heartbeat.fencingToken());
        if (hasSeenCurrentTerm()) {
            currentTermSeenAt = Math.min(currentTermSeenAt, now);
        }
    }

    /**
     * When a heartbeat first showed the present epoch; negative infinity if none has arrived. The
     * worker began the epoch, and with it a lease, at this time at the latest.
     */
    public double epochSeenAt() {
        return epochSeenAt;
    }

    /**
     * When a heartbeat first showed a token of this term; infinite if none has. Until then an
     * earlier leader may have renewed the worker's lease.
     */
    public double currentTermSeenAt() {
        return currentTermSeenAt;
    }

    /** Whether the worker has shown a token of this term. */
    boolean hasSeenCurrentTerm() {
        return termOf(highestSeenToken) == termOf(fencingToken);
    }

    /** Whether the worker is in its first epoch and has shown no leader's token. */
    boolean hasSeenNoLeader() {
        return epoch <= 1 && highestSeenToken == 0;
    }
}
