package org.springmill.control.controller;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Has a leader resign that no longer hears many of its workers while another controller does. Such
 * a leader is the one that is cut off: the workers' leases would expire under it although the
 * key-value store sees nothing wrong with it.
 */
final class LeaderIsolationCheck {
    /** Fewer silent workers are no sign of a partition. */
    private static final int MIN_WORKERS = 2;

    /** One worker in so many has to be silent. */
    private static final int WORKERS_PER_SILENT = 4;

    /** One silent worker in so many has to have been redirected by other controllers. */
    private static final int SILENT_PER_REDIRECTED = 2;

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

    /** Resigns, which closes the term, if this leader is cut off from its workers. */
    void resignIfIsolated() {
        double now = loop.now();
        int up = 0;
        int silent = 0;
        for (Machine machine : fleet.machines()) {
            if (isWorkerOfThisTerm(machine)) {
                up++;
                silent += isSilent(machine, now) ? 1 : 0;
            }
        }
        boolean manySilent = silent >= Math.max(MIN_WORKERS, up / WORKERS_PER_SILENT);
        if (manySilent && peers.workersRedirectedByPeers() >= minRedirected(silent)) {
            leadership.resign(silent + " of " + up + " workers report elsewhere");
        }
    }

    /**
     * Machines that never heard this leader are none that it has lost. When they counted, each new
     * leader resigned in its turn while such machines wandered from one controller to the next, and
     * none led for long enough to replace them.
     */
    private static boolean isWorkerOfThisTerm(Machine machine) {
        return machine.state() == Machine.State.UP && machine.hasSeenCurrentTerm();
    }

    private boolean isSilent(Machine machine, double now) {
        return now - machine.lastHeartbeatAt() > timeouts.suspectAfterSeconds();
    }

    private static int minRedirected(int silent) {
        return Math.max(MIN_WORKERS, silent / SILENT_PER_REDIRECTED);
    }
}
