package org.springmill.control.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.storage.ImageLocations;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/**
 * Notes which machines hold which images for the next leader, once in a while and only if nothing
 * else has to be written. Only start times depend on it.
 */
final class ImageLocationPersister {
    private final KeyValueStoreClient store;
    private final Fleet fleet;
    private final Leadership leadership;
    private final EventLoop loop;
    private final double intervalSeconds;
    private JsonNode lastNotes;
    private boolean closed;

    ImageLocationPersister(
            KeyValueStoreClient store,
            Fleet fleet,
            Leadership leadership,
            EventLoop loop,
            double intervalSeconds) {
        this.store = store;
        this.fleet = fleet;
        this.leadership = leadership;
        this.loop = loop;
        this.intervalSeconds = intervalSeconds;
    }

    void close() {
        closed = true;
    }

    /** Takes in what the last leader noted, and goes on from there. */
    void start() {
        store.get(
                ImageLocations.KEY,
                read -> {
                    if (read.entry() != null) {
                        fleet.adopt(ImageLocations.decode(read.entry().value()));
                    }
                    loop.after(intervalSeconds, this::note);
                });
    }

    private void note() {
        if (closed) {
            return;
        }
        loop.after(intervalSeconds, this::note);
        JsonNode notes = fleet.imageLocations().encode(store.limits().valueBytes());
        if (leadership.mayPlace() && !notes.equals(lastNotes) && store.backlog() == 0) {
            lastNotes = notes;
            store.compareAndSwap(
                    List.of(leadership.termCondition()),
                    List.of(Write.put(ImageLocations.KEY, notes)),
                    result -> {});
        }
    }
}
