package org.springmill.control.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import org.springmill.protocol.Json;
import org.springmill.protocol.Settings;

/**
 * The leader record, attached to the leader's lease in the key-value store.
 *
 * @param node the controller that leads
 * @param incarnation random name of the leader's process: a restarted process does not inherit the
 *     leadership
 */
record LeaderRecord(String node, String incarnation) {
    static final String KEY = "leader";

    private static final int FORMAT_VERSION = 1;
    private static final String VERSION = "v";
    private static final String NODE = "node";
    private static final String INCARNATION = "incarnation";
    private static final String USER_ADDRESS = "api";
    private static final String PEER_ADDRESS = "peer";

    /** Encodes the record of this process, with the addresses at which others reach it. */
    static JsonNode encode(Settings settings, String incarnation) {
        return Json.newObject()
                .put(VERSION, FORMAT_VERSION)
                .put(NODE, settings.node())
                .put(INCARNATION, incarnation)
                .put(USER_ADDRESS, settings.listen())
                .put(PEER_ADDRESS, settings.peerListen());
    }

    /** Decodes a record; fields that are missing become empty strings. */
    static LeaderRecord decode(JsonNode value) {
        return new LeaderRecord(value.path(NODE).asText(), value.path(INCARNATION).asText());
    }
}
