package org.springmill.control.cluster;

import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * The place of a message in the order in which one process of a worker makes its messages.
 *
 * @param processToken identifies the process: the lowest token that its messages show
 * @param epoch of the worker when it made the message
 * @param sequence number of the message, which counts on across epochs
 */
public record MessagePosition(long processToken, long epoch, long sequence) {
    /** The later one of this position and another of the same process. */
    MessagePosition latest(MessagePosition other) {
        boolean isOtherLater =
                other.epoch > epoch || (other.epoch == epoch && other.sequence > sequence);
        return isOtherLater ? other : this;
    }

    /**
     * Whether a message that is known to have been made after the one at this position had arrived
     * is of another process: one of the same process would come later in the order. The answer to a
     * request that was sent then is such a message.
     */
    public boolean isOfAnotherProcess(Heartbeat later) {
        return !later.isNewerThan(epoch, sequence);
    }
}
