package org.springmill.control.controller;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.control.workers.CommandDispatcher;
import org.springmill.transport.EventLoop;

/**
 * Requests the status of workers whose heartbeats are late, sends due commands, and removes
 * terminated machines.
 */
final class MachineSweep {
    private final Fleet fleet;
    private final CommandDispatcher dispatcher;
    private final EventLoop loop;
    private final Timeouts timeouts;

    MachineSweep(Fleet fleet, CommandDispatcher dispatcher, EventLoop loop, Timeouts timeouts) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.timeouts = timeouts;
    }

    /** Processes every machine once. */
    void run() {
        for (Machine machine : fleet.machinesSnapshot()) {
            if (isProbeDue(machine)) {
                machine.commandChannel().requestStatus();
            }
            dispatcher.requestSend(machine);
            if (isRemovable(machine)) {
                fleet.remove(machine);
            }
        }
    }

    private boolean isProbeDue(Machine machine) {
        return machine.state() == Machine.State.UP
                && loop.now() - machine.liveness().lastHeartbeatAt() > timeouts.probeAfterSeconds();
    }

    private static boolean isRemovable(Machine machine) {
        return machine.state() == Machine.State.TERMINATED && machine.attempts().isEmpty();
    }
}
