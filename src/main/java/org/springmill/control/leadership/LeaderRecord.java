package org.springmill.control.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.Settings;

/**
 * The stored record of the leader, attached to its lease in the key-value store.
 *
 * @param node the controller that leads
 * @param incarnation random name of its process: a restarted one does not inherit the leadership
 */
record LeaderRecord(String node, String incarnation) {
    static final String KEY = "leader";

    private static final int FORMAT_VERSION = 1;
    private static final String NODE = "node";
    private static final String INCARNATION = "incarnation";

    /** The record of this process, with the addresses at which others reach it. */
    static JsonNode encode(Settings settings, String incarnation) {
        return Json.newObject()
                .put("v", FORMAT_VERSION)
                .put(NODE, settings.node())
                .put(INCARNATION, incarnation)
                .put("api", settings.listen())
                .put("peer", settings.peerListen());
    }

    static LeaderRecord decode(JsonNode value) {
        return new LeaderRecord(value.path(NODE).asText(), value.path(INCARNATION).asText());
    }
}
