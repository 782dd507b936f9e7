package org.springmill.control.cluster;

import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * How far the messages exchanged with one worker have come: its session, the number of its latest
 * message, and the fencing tokens that it was sent and has shown. docs/design.md, section 5, has
 * the argument.
 */
public final class WorkerEpoch {
    private static final int COUNTER_BITS = 20;

    private long fencingToken;
    private long highestSeenToken;
    private long epoch;
    private long lastAcceptedSequence;
    private long lastHeartbeatSequence;
    private double currentTermSeenAt = Double.POSITIVE_INFINITY;

    WorkerEpoch(long term) {
        fencingToken = (term << COUNTER_BITS) + 1;
    }

    /** The term that a token belongs to. */
    public static long termOf(long token) {
        return token >>> COUNTER_BITS;
    }

    long fencingToken() {
        return fencingToken;
    }

    /**
     * From now on every command still held up by the network is void once the worker has seen the
     * new token.
     */
    public void raiseFencingToken() {
        fencingToken++;
    }

    /** Another copy of this term's tokens is out: never fall behind it. */
    public void adoptFencingToken(long seen) {
        fencingToken = Math.max(fencingToken, seen);
    }

    long epoch() {
        return epoch;
    }

    public boolean isNewerThanSeen(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(epoch, lastAcceptedSequence);
    }

    /**
     * Whether the worker may be waiting for the answer: it never sends a report before it is done
     * with the last.
     */
    public boolean isLatestHeartbeat(Heartbeat heartbeat) {
        return heartbeat.epoch() > epoch
                || (heartbeat.epoch() == epoch && heartbeat.sequence() > lastHeartbeatSequence);
    }

    public void recordHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.epoch() > epoch) {
            lastHeartbeatSequence = heartbeat.sequence();
        } else {
            lastHeartbeatSequence = Math.max(lastHeartbeatSequence, heartbeat.sequence());
        }
    }

    void accept(Heartbeat heartbeat, double now) {
        if (heartbeat.epoch() > epoch) {
            lastHeartbeatSequence = 0;
        }
        epoch = heartbeat.epoch();
        lastAcceptedSequence = heartbeat.sequence();
        highestSeenToken = Math.max(highestSeenToken, heartbeat.fencingToken());
        if (hasSeenCurrentTerm()) {
            currentTermSeenAt = Math.min(currentTermSeenAt, now);
        }
    }

    /**
     * When a message first showed a token of this term; up to then an earlier leader may have
     * renewed its lease.
     */
    public double currentTermSeenAt() {
        return currentTermSeenAt;
    }

    /** Whether the worker has shown a token of this term. */
    boolean hasSeenCurrentTerm() {
        return termOf(highestSeenToken) == termOf(fencingToken);
    }

    /** Whether it reports in its first session and has not yet heard any leader. */
    boolean hasSeenNoLeader() {
        return epoch <= 1 && highestSeenToken == 0;
    }
}
