package org.springmill.control.scheduling;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import org.springmill.control.cluster.Machine;

/**
 * Ranks machines by the cost of using them for one job. Using a machine changes its own cost and
 * can only raise the cost of others in its zone, so for each task only the few machines at the top
 * are evaluated again. Evaluating all of them took a controller seconds to place arrays of a
 * hundred tasks on hundreds of machines.
 */
public final class MachineRanking {
    private record Candidate(Machine machine, double cost, int order) {}

    private final PriorityQueue<Candidate> candidates =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Candidate::cost).thenComparingInt(Candidate::order));
    private final ToDoubleFunction<Machine> cost;

    /**
     * The machine returned last; it becomes a candidate again on the next call. Null before the
     * first call, or if no machine was left.
     */
    private Candidate lastReturned;

    /**
     * Ranks machines; among equal costs the earlier one is preferred.
     *
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
        double currentCost = cost.applyAsDouble(machine);
        if (currentCost < Double.POSITIVE_INFINITY) {
            candidates.add(new Candidate(machine, currentCost, order));
        }
    }

    /** The machine of the lowest cost at present; empty if none can be used. */
    public Optional<Machine> best() {
        if (lastReturned != null) {
            addCandidate(lastReturned.machine(), lastReturned.order());
        }
        for (lastReturned = candidates.poll();
                lastReturned != null;
                lastReturned = candidates.poll()) {
            Machine machine = lastReturned.machine();
            double currentCost = cost.applyAsDouble(machine);
            if (currentCost <= lastReturned.cost()) {
                return Optional.of(machine);
            }
            if (currentCost < Double.POSITIVE_INFINITY) {
                candidates.add(new Candidate(machine, currentCost, lastReturned.order()));
            }
        }
        return Optional.empty();
    }
}
