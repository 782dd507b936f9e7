package org.springmill.control.borrowing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.springmill.control.borrowing.VictimSelection.Candidate;
import org.springmill.control.borrowing.VictimSelection.Choice;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;

/** Checks which tasks of a machine are chosen for preemption. */
class VictimSelectionTest {
    private static Resources gpus(double gpus) {
        return new Resources(0, gpus, 0);
    }

    private static Candidate<String> task(
            String name, Priority priority, double gpus, double costSeconds) {
        return new Candidate<>(name, priority, gpus(gpus), costSeconds);
    }

    private static Optional<Choice<String>> choose(double need, List<Candidate<String>> tasks) {
        return VictimSelection.choose(gpus(0), gpus(need), tasks, (victim, others) -> true);
    }

    @Test
    void lowestPriorityIsChosenFirstAndThenLowestCost() {
        Choice<String> choice =
                choose(
                                2,
                                List.of(
                                        task("normal", Priority.NORMAL, 1, 1),
                                        task("costly", Priority.LOW, 1, 50),
                                        task("cheap", Priority.LOW, 1, 10)))
                        .orElseThrow();
        assertEquals(Set.of("cheap", "costly"), Set.copyOf(choice.victims()));
        assertEquals(60, choice.costSeconds());
    }

    /** Guards against stopping small tasks although a large one that is chosen later suffices. */
    @Test
    void victimThatALaterOneMakesUnneededIsLeftOut() {
        Choice<String> choice =
                choose(
                                4,
                                List.of(
                                        task("small", Priority.NORMAL, 1, 1),
                                        task("large", Priority.NORMAL, 4, 100)))
                        .orElseThrow();
        assertEquals(List.of("large"), choice.victims());
    }

    @Test
    void nothingIsChosenIfNotEnoughMayBeStopped() {
        List<Candidate<String>> tasks = List.of(task("only", Priority.LOW, 1, 1));
        assertTrue(choose(2, tasks).isEmpty());
        assertTrue(
                VictimSelection.choose(gpus(0), gpus(1), tasks, (victim, others) -> false)
                        .isEmpty());
    }

    /**
     * Compares with an exhaustive search: the greedy algorithm finds a choice whenever there is
     * one, none of its victims is unneeded, and its cost is at most three times the minimum.
     */
    @Property(tries = 300, seed = "7")
    void greedyChoiceIsCloseToTheBest(
            @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 1, max = 40) Integer> seeds,
            @ForAll @IntRange(min = 1, max = 12) int need) {
        List<Candidate<String>> tasks = new ArrayList<>();
        for (int i = 0; i < seeds.size(); i++) {
            int seed = seeds.get(i);
            tasks.add(task("t" + i, Priority.LOW, 1 + seed % 4, 10 + seed));
        }
        double best = leastCost(tasks, need);
        Optional<Choice<String>> choice = choose(need, tasks);
        assertEquals(best < Double.POSITIVE_INFINITY, choice.isPresent());
        if (choice.isPresent()) {
            assertTrue(
                    choice.get().costSeconds() <= 3 * best,
                    choice.get().costSeconds() + " to " + best);
            assertNoUnneededVictim(tasks, choice.get(), need);
        }
    }

    private static double leastCost(List<Candidate<String>> tasks, int need) {
        double best = Double.POSITIVE_INFINITY;
        for (int set = 0; set < 1 << tasks.size(); set++) {
            double freed = 0;
            double cost = 0;
            for (int i = 0; i < tasks.size(); i++) {
                if ((set & 1 << i) != 0) {
                    freed += tasks.get(i).frees().gpus();
                    cost += tasks.get(i).costSeconds();
                }
            }
            best = freed >= need ? Math.min(best, cost) : best;
        }
        return best;
    }

    private static void assertNoUnneededVictim(
            List<Candidate<String>> tasks, Choice<String> choice, int need) {
        List<Candidate<String>> chosen =
                tasks.stream().filter(task -> choice.victims().contains(task.task())).toList();
        double freed = chosen.stream().mapToDouble(task -> task.frees().gpus()).sum();
        for (Candidate<String> task : chosen) {
            assertTrue(freed - task.frees().gpus() < need, task + " is not needed");
        }
    }
}
