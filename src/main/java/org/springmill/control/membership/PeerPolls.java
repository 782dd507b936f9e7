package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/** Numbers this controller's status requests to its peers and records when they were sent. */
final class PeerPolls {
    /** Request number of a message that is no request, or that answers none. */
    static final long NO_REQUEST = 0;

    private static final double MICROSECONDS_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final Timeouts timeouts;

    /** When each recent request was sent. */
    private final Map<Long, Double> sentAtByRequest = new HashMap<>();

    private long lastRequestNumber;

    PeerPolls(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        this.timeouts = timeouts;
        // The numbers must differ from those of earlier processes of this node, whose responses may
        // still arrive.
        lastRequestNumber = (long) (loop.timeOfDay() * MICROSECONDS_PER_SECOND);
    }

    /** The number of a request that is sent now. */
    long next() {
        lastRequestNumber++;
        sentAtByRequest.put(lastRequestNumber, loop.now());
        double oldest = loop.now() - timeouts.peerConfirmationValiditySeconds();
        sentAtByRequest.values().removeIf(sentAt -> sentAt < oldest);
        return lastRequestNumber;
    }

    /** When a request was sent; empty if so long ago that a response to it is no longer valid. */
    OptionalDouble sentAt(long requestNumber) {
        Double sentAt = sentAtByRequest.get(requestNumber);
        return sentAt == null ? OptionalDouble.empty() : OptionalDouble.of(sentAt);
    }
}
