package org.springmill.control.cancellation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The machines whose workers sent heartbeats to this controller, with the time of the latest. */
final class HeardMachines {
    private final Map<String, Double> lastHeartbeatAt = new HashMap<>();

    /** Records a heartbeat. */
    void heard(String machine, double now) {
        lastHeartbeatAt.put(machine, now);
    }

    /** The machines heard since a time; all others are forgotten. */
    List<String> since(double time) {
        lastHeartbeatAt.values().removeIf(heardAt -> heardAt < time);
        return List.copyOf(lastHeartbeatAt.keySet());
    }

    /** Forgets all machines. */
    void clear() {
        lastHeartbeatAt.clear();
    }
}
