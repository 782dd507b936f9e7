package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;

/** How many of something there are in each zone. */
public final class ZoneCounts {
    private final Map<String, Integer> counts = new HashMap<>();

    /** Adds one to a zone. */
    public void add(String zone) {
        counts.merge(zone, 1, Integer::sum);
    }

    /** Zero for a zone to which nothing was added. */
    public int count(String zone) {
        return counts.getOrDefault(zone, 0);
    }
}
