package org.springmill.control.cluster;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.protocol.Priority;

/**
 * The ranks that the active dependents of one job last passed to it. Dependents are counted by
 * priority and by latest start, so that the highest priority and the earliest of the latest starts
 * are found without a scan of all dependents, also after a removal.
 */
final class DependentRanks {
    /** How many dependents have each priority. */
    private final Map<Priority, Integer> priorities = new EnumMap<>(Priority.class);

    /** How many dependents have each latest start; those without a deadline are left out. */
    private final TreeMap<Double, Integer> latestStarts = new TreeMap<>();

    private int size;

    /**
     * What a job passes to its dependencies; both values take part in the order of the queue.
     *
     * @param latestStart time of day in seconds; infinite for no deadline
     */
    record Rank(Priority priority, double latestStart) {}

    void add(Rank rank) {
        size++;
        priorities.merge(rank.priority(), 1, Integer::sum);
        if (Double.isFinite(rank.latestStart())) {
            latestStarts.merge(rank.latestStart(), 1, Integer::sum);
        }
    }

    /** Removes a rank that was added before. */
    void remove(Rank rank) {
        size--;
        decrement(priorities, rank.priority());
        decrement(latestStarts, rank.latestStart());
    }

    private static <K> void decrement(Map<K, Integer> counts, K key) {
        counts.computeIfPresent(key, (same, count) -> count == 1 ? null : count - 1);
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The highest of a job's own priority and those of its dependents. */
    Priority highestPriority(Priority own) {
        Priority highest = own;
        for (Priority priority : priorities.keySet()) {
            highest = priority.isAbove(highest) ? priority : highest;
        }
        return highest;
    }

    /** The earliest time by which a dependent has to start; infinite if none has a deadline. */
    double earliestLatestStart() {
        return latestStarts.isEmpty() ? Double.POSITIVE_INFINITY : latestStarts.firstKey();
    }
}
