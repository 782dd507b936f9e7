package org.springmill.control.autoscaling;

import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;

/** Measures the time since the last heartbeat of each machine whose heartbeats are expected. */
final class HeartbeatMonitor {
    private final UnlistedMachines unlistedMachines;
    private final Timeouts timeouts;
    private double monitoredSince;

    /**
     * @param now start of the leader's term in seconds
     */
    HeartbeatMonitor(UnlistedMachines unlistedMachines, Timeouts timeouts, double now) {
        this.unlistedMachines = unlistedMachines;
        this.timeouts = timeouts;
        this.monitoredSince = now;
    }

    /**
     * Restarts all heartbeat timeouts, because this process was paused and read no heartbeats.
     * Otherwise the leader would declare the whole fleet dead before it has read a single
     * heartbeat.
     */
    void restart(double now) {
        monitoredSince = now;
    }

    /** Whether the machine's worker must send heartbeats. */
    boolean isHeartbeatExpected(Machine machine) {
        return machine.state() == Machine.State.UP
                || (machine.state() == Machine.State.PROVISIONING && !machine.attempts().isEmpty());
    }

    /**
     * Whether a listed machine's heartbeat is overdue. This limit is well below the time after
     * which a machine is deleted, so that the number of machines that fail together is known by
     * then.
     */
    boolean isHeartbeatOverdue(Machine machine, double now) {
        return secondsSinceHeartbeat(machine, now) > timeouts.probeAfterSeconds()
                && !unlistedMachines.contains(machine);
    }

    /**
     * Seconds since the last heartbeat of a machine whose heartbeats are expected; zero for all
     * others. At the start of a term the count begins later, so that machines have time to find the
     * new leader.
     */
    double secondsSinceHeartbeat(Machine machine, double now) {
        if (!isHeartbeatExpected(machine)) {
            return 0;
        }
        double countedFrom = monitoredSince + timeouts.deadAfterSeconds() / 2;
        return now - Math.max(machine.liveness().lastHeartbeatAt(), countedFrom);
    }
}
