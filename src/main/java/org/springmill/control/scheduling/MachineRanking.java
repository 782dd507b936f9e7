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
    private record Candidate(Machine machine, double cost, int order) {}

    private final PriorityQueue<Candidate> candidates =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Candidate::cost).thenComparingInt(Candidate::order));
    private final ToDoubleFunction<Machine> cost;
    private Candidate lastReturned;

    /**
     * @param cost infinite where the machine cannot be used
     */
    public MachineRanking(Iterable<Machine> machines, ToDoubleFunction<Machine> cost) {
        this.cost = cost;
        int order = 0;
        for (Machine machine : machines) {
            addCandidate(machine, order++);
        }
    }

    private void addCandidate(Machine machine, int order) {
        double now = cost.applyAsDouble(machine);
        if (now < Double.POSITIVE_INFINITY) {
            candidates.add(new Candidate(machine, now, order));
        }
    }

    /** The machine that costs least now; null if there is none. */
    public Machine best() {
        if (lastReturned != null) {
            addCandidate(lastReturned.machine(), lastReturned.order());
        }
        for (lastReturned = candidates.poll();
                lastReturned != null;
                lastReturned = candidates.poll()) {
            double now = cost.applyAsDouble(lastReturned.machine());
            if (now <= lastReturned.cost()) {
                return lastReturned.machine();
            }
            if (now < Double.POSITIVE_INFINITY) {
                candidates.add(new Candidate(lastReturned.machine(), now, lastReturned.order()));
            }
        }
        return null;
    }
}
