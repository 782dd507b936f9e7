package org.springmill.control.membership;

import java.util.HashMap;
import java.util.Map;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Workers that reported to this controller lately and were sent away. Their number tells a leader
 * that lost them that it is cut off from its workers.
 */
public final class RedirectedWorkers {
    private final EventLoop loop;
    private final double maxAgeSeconds;
    private final Map<String, Double> lastHeartbeatAt = new HashMap<>();

    public RedirectedWorkers(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        maxAgeSeconds = 2 * timeouts.suspectAfterSeconds();
    }

    public void add(String machine) {
        lastHeartbeatAt.put(machine, loop.now());
    }

    /** How many workers were sent away lately; forgets all others. */
    public int count() {
        double oldest = loop.now() - maxAgeSeconds;
        lastHeartbeatAt.values().removeIf(reportAt -> reportAt < oldest);
        return lastHeartbeatAt.size();
    }
}
