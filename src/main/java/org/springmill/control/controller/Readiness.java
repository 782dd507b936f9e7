package org.springmill.control.controller;

import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/**
 * Whether the load balancer should send users to this controller. In an outage that every
 * controller sees they may as well stay: leaving would only add the balancer's pause to the outage.
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

    /** Records that the process resumed after a pause, during which nothing could be heard. */
    void resumed() {
        resumedAt = loop.now();
    }

    /** Whether users should be sent here. */
    boolean isReady() {
        if (!directory.isLoaded() || !catalog.isKnown()) {
            return false;
        }
        boolean anyPeerReachesStore = peers.anyReachesStore();
        return !lacksStore() || !(anyPeerReachesStore || isIsolated());
    }

    private boolean lacksStore() {
        double lastServedAt = Math.max(store.lastServedAt(), resumedAt);
        return !store.isReachable()
                && loop.now() - lastServedAt > timeouts.leaderLeaseSeconds() / 2;
    }

    /**
     * Whether neither store nor peers were heard for a whole lease, so that this controller itself
     * is cut off. Users whose connections to it stayed open would get no answer for as long as that
     * lasts, while all others are served.
     */
    private boolean isIsolated() {
        double lastHeardAt = Math.max(store.lastServedAt(), peers.lastHeardAt());
        return loop.now() - Math.max(lastHeardAt, resumedAt) > timeouts.workerLeaseSeconds();
    }
}
