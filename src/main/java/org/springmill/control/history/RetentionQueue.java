package org.springmill.control.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Jobs that have ended, by the time at which their records may be moved. Each is in it once; one
 * that cannot be moved when its time has come is put back for later.
 */
final class RetentionQueue {
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Set<String> queued = new HashSet<>();
    private long added;

    /** Of several with the same time the one added first comes first. */
    private record Due(String id, double at, long order) {}

    /** Adds a job unless it is there already. */
    void add(String id, double at) {
        if (queued.add(id)) {
            queue.add(new Due(id, at, added++));
        }
    }

    /** Takes out jobs whose time has come, the earliest first. */
    List<String> take(double now, int most) {
        List<String> taken = new ArrayList<>();
        while (taken.size() < most && !queue.isEmpty() && queue.peek().at() <= now) {
            String id = queue.poll().id();
            queued.remove(id);
            taken.add(id);
        }
        return taken;
    }

    int size() {
        return queue.size();
    }
}
