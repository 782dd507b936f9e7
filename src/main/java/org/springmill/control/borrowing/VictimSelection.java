package org.springmill.control.borrowing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;

/**
 * Chooses the tasks of one machine to preempt so that enough capacity becomes free: those of the
 * lowest priority first, and among these the ones with the lowest cost for the resources that they
 * free. A victim is dropped again if a larger one chosen later frees enough without it.
 */
public final class VictimSelection {
    private VictimSelection() {}

    /**
     * A task that may be preempted.
     *
     * @param frees the resources that its end frees on the machine
     * @param costSeconds the work and time that its preemption costs
     */
    public record Candidate<T>(T task, Priority priority, Resources frees, double costSeconds) {}

    /** Decides whether a task may be preempted together with those chosen already. */
    public interface PreemptionRule<T> {
        /** Whether the victim may be preempted in addition to the others. */
        boolean mayPreempt(T victim, List<T> others);
    }

    /** The victims on a machine, and what their preemption costs in seconds. */
    public record Choice<T>(List<T> victims, double costSeconds) {}

    /**
     * Chooses victims; empty if not enough may be preempted.
     *
     * @param free resources that are free on the machine, or will be without any preemption
     * @param need resources that have to be free
     */
    public static <T> Optional<Choice<T>> choose(
            Resources free, Resources need, List<Candidate<T>> candidates, PreemptionRule<T> rule) {
        List<Candidate<T>> ordered = new ArrayList<>(candidates);
        ordered.sort(
                Comparator.comparing((Candidate<T> c) -> c.priority())
                        .reversed()
                        .thenComparingDouble(c -> costPerShareOfNeed(c, need)));
        List<Candidate<T>> chosen = new ArrayList<>();
        List<T> tasks = new ArrayList<>();
        Resources freed = free;
        for (Candidate<T> candidate : ordered) {
            if (freed.canFit(need)) {
                break;
            }
            if (freesWhatIsMissing(candidate, freed, need)
                    && rule.mayPreempt(candidate.task(), tasks)) {
                chosen.add(candidate);
                tasks.add(candidate.task());
                freed = freed.plus(candidate.frees());
            }
        }
        if (!freed.canFit(need)) {
            return Optional.empty();
        }
        return Optional.of(withoutUnneeded(chosen, freed, need));
    }

    /** Whether a task frees any resource of which too little is free. */
    private static boolean freesWhatIsMissing(
            Candidate<?> candidate, Resources freed, Resources need) {
        Resources frees = candidate.frees();
        return (frees.cpus() > 0 && need.cpus() > freed.cpus() + Resources.ROUNDING)
                || (frees.gpus() > 0 && need.gpus() > freed.gpus() + Resources.ROUNDING)
                || (frees.memoryGb() > 0 && need.memoryGb() > freed.memoryGb() + Resources.ROUNDING)
                || need.heartbeatBytes() > freed.heartbeatBytes();
    }

    /** Cost per share of the need, by the resource of which the task frees the largest share. */
    private static double costPerShareOfNeed(Candidate<?> candidate, Resources need) {
        Resources frees = candidate.frees();
        double share =
                Math.max(
                        shareOfNeed(frees.cpus(), need.cpus()),
                        Math.max(
                                shareOfNeed(frees.gpus(), need.gpus()),
                                shareOfNeed(frees.memoryGb(), need.memoryGb())));
        return candidate.costSeconds() / Math.max(Resources.ROUNDING, share);
    }

    private static double shareOfNeed(double frees, double need) {
        return need <= 0 ? 0 : Math.min(1, frees / need);
    }

    private static <T> Choice<T> withoutUnneeded(
            List<Candidate<T>> chosen, Resources freed, Resources need) {
        List<Candidate<T>> kept = new ArrayList<>(chosen);
        List<Candidate<T>> costly = new ArrayList<>(chosen);
        costly.sort(Comparator.comparingDouble((Candidate<T> c) -> c.costSeconds()).reversed());
        Resources left = freed;
        for (Candidate<T> candidate : costly) {
            Resources without = left.minus(candidate.frees());
            if (without.canFit(need)) {
                left = without;
                kept.remove(candidate);
            }
        }
        double cost = kept.stream().mapToDouble(Candidate::costSeconds).sum();
        return new Choice<>(kept.stream().map(Candidate::task).toList(), cost);
    }
}
