package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;

/** A counter for each zone. */
public final class ZoneCounts {
    private final Map<String, Integer> counts = new HashMap<>();

    /** Adds one to a zone. */
    public void add(String zone) {
        counts.merge(zone, 1, Integer::sum);
    }

    /** The count of a zone; 0 for one to which nothing was added. */
    public int count(String zone) {
        return counts.getOrDefault(zone, 0);
    }
}
