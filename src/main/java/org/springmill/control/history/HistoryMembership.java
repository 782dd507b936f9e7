package org.springmill.control.history;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.storage.KeyValueStoreClient.ReadResult;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/**
 * Determines whether all controllers support archived jobs (the bounded history). A version without
 * this support would accept an archived job again, so records may be archived only once every
 * controller is known to read both prefixes. A controller with the history enabled registers in the
 * key-value store, where the registration remains while the controller is down. It also reports the
 * history in its messages to peers. A process of an earlier version does not, and a leader that
 * receives its messages stops archiving.
 */
public final class HistoryMembership {
    private static final Logger LOG = LoggerFactory.getLogger(HistoryMembership.class);
    private static final String KEY_PREFIX = "history-member/";
    private static final int FORMAT_VERSION = 1;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final String ownName;
    private final Set<String> peerKeys;
    private final BooleanSupplier anyPeerWithoutHistory;
    private final double retrySeconds;
    private boolean allRegistered;
    private boolean peerWithoutHistoryReported;

    /**
     * Creates a membership without known registrations.
     *
     * @param ownName name of this controller
     * @param peers names of all other controllers
     * @param anyPeerWithoutHistory whether the latest message of any peer reports no bounded
     *     history
     * @param retrySeconds after which a failed registration or check is retried
     */
    public HistoryMembership(
            KeyValueStoreClient store,
            EventLoop loop,
            String ownName,
            Set<String> peers,
            BooleanSupplier anyPeerWithoutHistory,
            double retrySeconds) {
        this.store = store;
        this.loop = loop;
        this.ownName = ownName;
        this.anyPeerWithoutHistory = anyPeerWithoutHistory;
        this.retrySeconds = retrySeconds;
        peerKeys = peers.stream().map(HistoryMembership::key).collect(Collectors.toSet());
    }

    private static String key(String node) {
        return KEY_PREFIX + node;
    }

    /** Registers this controller, unless it is registered already. */
    public void register() {
        store.get(key(ownName), this::ownRegistrationRead);
    }

    private void ownRegistrationRead(ReadResult read) {
        if (!read.served()) {
            loop.after(retrySeconds, this::register);
        } else if (read.entry() == null) {
            Write write = Write.put(key(ownName), Json.newObject().put("v", FORMAT_VERSION));
            store.compareAndSwap(List.of(), List.of(write), this::registrationCommitted);
        } else {
            checkPeers();
        }
    }

    private void registrationCommitted(CommitResult result) {
        if (result.outcome() == CommitOutcome.COMMITTED) {
            checkPeers();
        } else {
            loop.after(retrySeconds, this::register);
        }
    }

    private void checkPeers() {
        store.list(KEY_PREFIX, this::peerRegistrationsRead);
    }

    private void peerRegistrationsRead(Page page) {
        if (page != null) {
            Set<String> found =
                    page.entries().stream().map(entry -> entry.key()).collect(Collectors.toSet());
            allRegistered = found.containsAll(peerKeys);
        }
        if (allRegistered) {
            LOG.info("all controllers are registered for the bounded history: archiving enabled");
        } else {
            loop.after(retrySeconds, this::checkPeers);
        }
    }

    /** Whether all controllers are known to support archived jobs, so records may be archived. */
    public boolean allParticipate() {
        boolean peerWithoutHistory = anyPeerWithoutHistory.getAsBoolean();
        if (peerWithoutHistory && !peerWithoutHistoryReported && allRegistered) {
            LOG.error(
                    "a peer runs without the bounded history although records may be archived:"
                            + " archiving paused; restart that peer with the history enabled");
        }
        peerWithoutHistoryReported = peerWithoutHistory;
        return allRegistered && !peerWithoutHistory;
    }
}
