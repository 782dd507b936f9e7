package org.springmill.control.cluster;

import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * The epoch of one worker, the sequence number of its latest heartbeat, the fencing token of its
 * commands and the highest one in its heartbeats. See docs/design.md, section 5.
 */
public final class WorkerEpoch {
    /** A fencing token is the term of a leader, followed by a counter with this many bits. */
    private static final int COUNTER_BITS = 20;

    private long fencingToken;
    private long highestSeenToken;
    private long epoch;
    private long lastAcceptedSequence;
    private long lastHeartbeatSequence;
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

    /** Adopts a token of this term that a heartbeat carries, if it is higher. */
    public void adoptFencingToken(long seen) {
        fencingToken = Math.max(fencingToken, seen);
    }

    long epoch() {
        return epoch;
    }

    /** Whether a heartbeat is newer than all accepted ones. */
    public boolean isNewerThanSeen(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(epoch, lastAcceptedSequence);
    }

    /**
     * Whether the worker may still be waiting for the answer: it sends no heartbeat before the
     * previous one was answered or timed out.
     */
    public boolean isLatestHeartbeat(Heartbeat heartbeat) {
        return heartbeat.epoch() > epoch
                || (heartbeat.epoch() == epoch && heartbeat.sequence() > lastHeartbeatSequence);
    }

    /** Records that a heartbeat arrived, whether it is accepted or not. */
    public void recordHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.epoch() > epoch) {
            lastHeartbeatSequence = heartbeat.sequence();
        } else {
            lastHeartbeatSequence = Math.max(lastHeartbeatSequence, heartbeat.sequence());
        }
    }

    /** Accepts a heartbeat that is newer than all before. */
    void accept(Heartbeat heartbeat, double now) {
        if (heartbeat.epoch() > epoch) {
            lastHeartbeatSequence = 0;
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
