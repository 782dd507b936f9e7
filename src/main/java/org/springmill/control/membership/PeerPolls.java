package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/** Numbers this controller's questions to its peers and dates them by its own clock. */
final class PeerPolls {
    /** A question has this number if it is none, and an answer if it answers none. */
    static final long NO_QUESTION = 0;

    private static final double MICROSECONDS_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final Timeouts timeouts;

    /** When each recent question was sent. */
    private final Map<Long, Double> sentAtByQuestion = new HashMap<>();

    private long lastQuestion;

    PeerPolls(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        this.timeouts = timeouts;
        // Answers to an earlier process of this node, still on the way, must not be taken for
        // answers to this one.
        lastQuestion = (long) (loop.timeOfDay() * MICROSECONDS_PER_SECOND);
    }

    /** The number of a question that is sent now. */
    long next() {
        lastQuestion++;
        sentAtByQuestion.put(lastQuestion, loop.now());
        double oldest = loop.now() - timeouts.peerConfirmationValiditySeconds();
        sentAtByQuestion.values().removeIf(sentAt -> sentAt < oldest);
        return lastQuestion;
    }

    /** When a question was sent; empty if too long ago for an answer to be worth anything. */
    OptionalDouble sentAt(long question) {
        Double sentAt = sentAtByQuestion.get(question);
        return sentAt == null ? OptionalDouble.empty() : OptionalDouble.of(sentAt);
    }
}
