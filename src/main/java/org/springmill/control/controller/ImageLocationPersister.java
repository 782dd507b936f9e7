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
 * Persists which machines hold which images, as a hint for the next leader: periodically, and only
 * if nothing else is queued. Without it tasks start later, since images are fetched again.
 */
final class ImageLocationPersister {
    private final KeyValueStoreClient store;
    private final Fleet fleet;
    private final Leadership leadership;
    private final EventLoop loop;
    private final double intervalSeconds;
    private JsonNode lastWritten;
    private boolean closed;

    /**
     * @param intervalSeconds time between two writes
     */
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

    /** Stops writing. */
    void close() {
        closed = true;
    }

    /** Reads what the last leader persisted, then begins to persist. */
    void start() {
        store.get(
                ImageLocations.KEY,
                read -> {
                    if (read.entry() != null) {
                        fleet.adoptImageLocations(ImageLocations.decode(read.entry().value()));
                    }
                    loop.after(intervalSeconds, this::run);
                });
    }

    private void run() {
        if (closed) {
            return;
        }
        loop.after(intervalSeconds, this::run);
        JsonNode locations = fleet.imageLocations().encode(store.limits().valueBytes());
        if (leadership.mayPlace() && !locations.equals(lastWritten) && store.backlog() == 0) {
            lastWritten = locations;
            store.compareAndSwap(
                    List.of(leadership.termCondition()),
                    List.of(Write.put(ImageLocations.KEY, locations)),
                    result -> {});
        }
    }
}
