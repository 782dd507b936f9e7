package org.springmill.control.controller;

import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Whether the load balancer should send users to this controller. In an outage of the key-value
 * store that affects every controller, all stay ready: otherwise the time until the load balancer
 * readmits them would prolong the outage.
 */
final class Readiness {
    private final JobDirectory directory;
    private final MachineTypeCatalog catalog;
    private final Peers peers;
    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private double resumedAt = Double.NEGATIVE_INFINITY;

    Readiness(
            JobDirectory directory,
            MachineTypeCatalog catalog,
            Peers peers,
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts) {
        this.directory = directory;
        this.catalog = catalog;
        this.peers = peers;
        this.store = store;
        this.loop = loop;
        this.timeouts = timeouts;
    }

    /** Records that the process resumed after a pause, in which it could not receive anything. */
    void resumed() {
        resumedAt = loop.now();
    }

    /** Whether users should be sent here. */
    boolean isReady() {
        if (!directory.isLoaded() || !catalog.isKnown()) {
            return false;
        }
        boolean anyPeerReachesStore = peers.anyReachesStore();
        return !isStoreUnavailable() || !(anyPeerReachesStore || isIsolated());
    }

    private boolean isStoreUnavailable() {
        double lastServedAt = Math.max(store.lastServedAt(), resumedAt);
        return !store.isReachable()
                && loop.now() - lastServedAt > timeouts.leaderLeaseSeconds() / 2;
    }

    /**
     * Whether nothing was received from the key-value store or any peer for a worker's lease, so
     * that this controller itself is isolated. Users who stayed connected to it would get no
     * answers for as long as that lasts, while other controllers serve theirs.
     */
    private boolean isIsolated() {
        double lastContactAt = Math.max(store.lastServedAt(), peers.lastReceivedAt());
        return loop.now() - Math.max(lastContactAt, resumedAt) > timeouts.workerLeaseSeconds();
    }
}
