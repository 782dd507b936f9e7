package org.springmill.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Delivers messages between controllers; a test can partition, filter or hold them. */
final class SimPeerNetwork {
    private static final double DELAY_SECONDS = 0.002;

    private final VirtualClock clock;

    /** Finds the process that has a controller's name now; null if it is stopped. */
    private final Function<String, SimController> processes;

    private final Set<String> isolated = new HashSet<>();
    private final List<Runnable> held = new ArrayList<>();
    private boolean holding;
    private boolean filtered;

    SimPeerNetwork(VirtualClock clock, Function<String, SimController> processes) {
        this.clock = clock;
        this.processes = processes;
    }

    /** Drops a controller's messages to and from its peers, or delivers them again. */
    void isolate(String controller, boolean isolate) {
        if (isolate) {
            isolated.add(controller);
        } else {
            isolated.remove(controller);
        }
    }

    /** From now on a packet filter refuses all connections between controllers. */
    void filter() {
        filtered = true;
    }

    /** Ends all partitions and the packet filter. HeldRequest messages stay held. */
    void heal() {
        isolated.clear();
        filtered = false;
    }

    void hold() {
        holding = true;
    }

    /** Delivers the held messages to the processes that have the receivers' names now. */
    void release() {
        holding = false;
        held.forEach(Runnable::run);
        held.clear();
    }

    void send(SimController from, String to, byte[] message) {
        if (filtered) {
            clock.after(DELAY_SECONDS, () -> from.listener().onConnectionRefused(to));
            return;
        }
        if (isolated.contains(from.name()) || isolated.contains(to)) {
            return;
        }
        Runnable delivery = () -> deliver(from, to, message);
        if (holding) {
            held.add(delivery);
        } else {
            clock.after(DELAY_SECONDS, delivery);
        }
    }

    private void deliver(SimController from, String to, byte[] message) {
        SimController receiver = processes.apply(to);
        if (receiver == null) {
            from.listener().onConnectionRefused(to);
        } else if (receiver.listener() != null) {
            receiver.listener().onRecord(message);
        }
    }
}
