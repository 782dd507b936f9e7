package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Workers that recently sent heartbeats to this controller and were redirected. From their number a
 * leader without their heartbeats concludes that it is isolated from its workers.
 */
public final class RedirectedWorkers {
    /** How long a worker is counted after its last heartbeat here, in suspicion timeouts. */
    private static final double MAX_AGE_SUSPECT_TIMEOUTS = 2;

    private final EventLoop loop;
    private final double maxAgeSeconds;
    private final Map<String, Double> lastHeartbeatAt = new HashMap<>();

    /** Creates an empty set. */
    public RedirectedWorkers(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        maxAgeSeconds = MAX_AGE_SUSPECT_TIMEOUTS * timeouts.suspectAfterSeconds();
    }

    /** Records that a worker is redirected now. */
    public void add(String machine) {
        lastHeartbeatAt.put(machine, loop.now());
    }

    /** Number of workers redirected recently; removes all others. */
    public int count() {
        double oldest = loop.now() - maxAgeSeconds;
        lastHeartbeatAt.values().removeIf(heartbeatAt -> heartbeatAt < oldest);
        return lastHeartbeatAt.size();
    }
}
