package org.springmill.control.autoscaling;

import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;

/** Tells for how long the machines whose heartbeats are expected have been silent. */
final class HeartbeatSilence {
    private final UnlistedMachines unlistedMachines;
    private final Timeouts timeouts;
    private double listeningSince;

    /**
     * @param now start of the leader's term in seconds
     */
    HeartbeatSilence(UnlistedMachines unlistedMachines, Timeouts timeouts, double now) {
        this.unlistedMachines = unlistedMachines;
        this.timeouts = timeouts;
        this.listeningSince = now;
    }

    /**
     * Counts silence from now on only, because this process was paused and read no heartbeats. A
     * leader that resumes would otherwise take the whole fleet for dead before it has read a single
     * heartbeat.
     */
    void restart(double now) {
        listeningSince = now;
    }

    /** Whether a machine is one whose worker has to send heartbeats. */
    boolean isHeartbeatExpected(Machine machine) {
        return machine.state() == Machine.State.UP
                || (machine.state() == Machine.State.PROVISIONING && !machine.attempts().isEmpty());
    }

    /**
     * Whether a listed machine's heartbeat is overdue. That is well before its silence is acted on:
     * how many machines are silent together has to show by the time at which the first of them
     * might be deleted.
     */
    boolean isHeartbeatOverdue(Machine machine, double now) {
        return silentSeconds(machine, now) > timeouts.probeAfterSeconds()
                && !unlistedMachines.contains(machine);
    }

    /**
     * Seconds since the last heartbeat of a machine whose heartbeats are expected; zero for all
     * others. A new leader gives all machines time to find it.
     */
    double silentSeconds(Machine machine, double now) {
        if (!isHeartbeatExpected(machine)) {
            return 0;
        }
        double listenedSince = listeningSince + timeouts.deadAfterSeconds() / 2;
        return now - Math.max(machine.lastHeartbeatAt(), listenedSince);
    }
}
