package org.springmill.sim;

import org.springmill.control.storage.KeyValueStoreClient;

/** Clients of the key-value store for tests that send no records. */
public final class UnconnectedStores {
    private static final double TIMEOUT_SECONDS = 1;

    private UnconnectedStores() {}

    /** A client whose requests are never answered. */
    public static KeyValueStoreClient unconnected() {
        return new KeyValueStoreClient(
                (request, done) -> {},
                new VirtualClock(),
                SimSettings.of(0, SimSettings.STORE_LIMITS),
                TIMEOUT_SECONDS);
    }
}
