package org.springmill.control.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import org.springmill.control.cluster.Machine;

/**
 * Machines by what it costs to use them for one job. Using a machine changes the cost of that one,
 * and can only raise that of others in its zone, so each task looks at the few machines on top
 * rather than at all of them: with hundreds of machines, arrays of a hundred tasks took a
 * controller seconds to place.
 */
public final class MachineRanking {
    private record Option(Machine machine, double cost, int order) {}

    private final PriorityQueue<Option> options =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Option::cost).thenComparingInt(Option::order));
    private final ToDoubleFunction<Machine> cost;
    private Option taken;

    /**
     * @param cost infinite where the machine cannot be used
     */
    public MachineRanking(Iterable<Machine> machines, ToDoubleFunction<Machine> cost) {
        this.cost = cost;
        int order = 0;
        for (Machine machine : machines) {
            offer(machine, order++);
        }
    }

    private void offer(Machine machine, int order) {
        double now = cost.applyAsDouble(machine);
        if (now < Double.POSITIVE_INFINITY) {
            options.add(new Option(machine, now, order));
        }
    }

    /** The machine that costs least now; null if there is none. */
    public Machine best() {
        if (taken != null) {
            offer(taken.machine(), taken.order());
        }
        for (taken = options.poll(); taken != null; taken = options.poll()) {
            double now = cost.applyAsDouble(taken.machine());
            if (now <= taken.cost()) {
                return taken.machine();
            }
            if (now < Double.POSITIVE_INFINITY) {
                options.add(new Option(taken.machine(), now, taken.order()));
            }
        }
        return null;
    }
}
