package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Workers that lately sent heartbeats to this controller and were redirected. Their number shows a
 * leader that lost them that it is isolated from its workers.
 */
public final class RedirectedWorkers {
    /** A worker counts for so many times the silence after which it would be suspected. */
    private static final double MAX_AGE_SUSPECT_TIMEOUTS = 2;

    private final EventLoop loop;
    private final double maxAgeSeconds;
    private final Map<String, Double> lastHeartbeatAt = new HashMap<>();

    /** Creates an empty account. */
    public RedirectedWorkers(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        maxAgeSeconds = MAX_AGE_SUSPECT_TIMEOUTS * timeouts.suspectAfterSeconds();
    }

    /** Notes that a worker is redirected now. */
    public void add(String machine) {
        lastHeartbeatAt.put(machine, loop.now());
    }

    /** How many workers were redirected lately; forgets all others. */
    public int count() {
        double oldest = loop.now() - maxAgeSeconds;
        lastHeartbeatAt.values().removeIf(heartbeatAt -> heartbeatAt < oldest);
        return lastHeartbeatAt.size();
    }
}
