package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.springmill.protocol.KeyValueStoreMessages.Entry;

/** The live claims that the next leader would recover from stored rounds. */
public final class StoredLiveClaims {
    private StoredLiveClaims() {}

    /**
     * The tasks with a live claim.
     *
     * @param rounds all stored rounds by key
     */
    public static Set<String> tasks(Map<String, JsonNode> rounds) {
        RoundIndex index = new RoundIndex();
        new TreeMap<>(rounds).forEach((key, value) -> index.replay(new Entry(key, value, 1, 0)));
        return index.recover().live().stream()
                .map(claim -> claim.task().toString())
                .collect(Collectors.toSet());
    }
}
