package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.Map;

/** How many of something there are in each zone. */
final class ZoneCounts {
    private final Map<String, Integer> counts = new HashMap<>();

    /** Adds one to a zone. */
    void add(String zone) {
        counts.merge(zone, 1, Integer::sum);
    }

    /** Zero for a zone to which nothing was added. */
    int count(String zone) {
        return counts.getOrDefault(zone, 0);
    }
}
