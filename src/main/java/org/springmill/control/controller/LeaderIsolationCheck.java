package org.springmill.control.controller;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Makes a leader resign if it gets no heartbeats from many of its workers while another controller
 * does. Such a leader is isolated from its workers: their leases would expire although its own
 * lease in the key-value store is renewed.
 */
final class LeaderIsolationCheck {
    /** Fewer workers without heartbeats do not indicate a partition. */
    private static final int MIN_WORKERS = 2;

    /** At least one worker in this many must be without heartbeats. */
    private static final int WORKERS_PER_UNRESPONSIVE = 4;

    /** At least one of this many workers without heartbeats must have been redirected by a peer. */
    private static final int UNRESPONSIVE_PER_REDIRECTED = 2;

    private final Fleet fleet;
    private final Peers peers;
    private final Leadership leadership;
    private final EventLoop loop;
    private final Timeouts timeouts;

    LeaderIsolationCheck(ControllerServices services, Fleet fleet) {
        this.fleet = fleet;
        peers = services.peers();
        leadership = services.leadership();
        loop = services.loop();
        timeouts = services.timeouts();
    }

    /** Resigns, which closes the term, if this leader is isolated from its workers. */
    void resignIfIsolated() {
        double now = loop.now();
        int up = 0;
        int unresponsive = 0;
        for (Machine machine : fleet.machines()) {
            if (isWorkerOfThisTerm(machine)) {
                up++;
                unresponsive += isUnresponsive(machine, now) ? 1 : 0;
            }
        }
        boolean manyUnresponsive =
                unresponsive >= Math.max(MIN_WORKERS, up / WORKERS_PER_UNRESPONSIVE);
        if (manyUnresponsive && peers.workersRedirectedByPeers() >= minRedirected(unresponsive)) {
            leadership.resign(unresponsive + " of " + up + " workers report elsewhere");
        }
    }

    /**
     * Only workers that this leader has reached count as lost. When the others counted too, each
     * new leader resigned in turn while such workers tried one controller after another, and none
     * led for long enough to replace their machines.
     */
    private static boolean isWorkerOfThisTerm(Machine machine) {
        return machine.state() == Machine.State.UP && machine.hasSeenCurrentTerm();
    }

    private boolean isUnresponsive(Machine machine, double now) {
        return now - machine.liveness().lastHeartbeatAt() > timeouts.suspectAfterSeconds();
    }

    private static int minRedirected(int unresponsive) {
        return Math.max(MIN_WORKERS, unresponsive / UNRESPONSIVE_PER_REDIRECTED);
    }
}
