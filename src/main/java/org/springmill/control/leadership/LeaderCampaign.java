package org.springmill.control.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * A candidacy for leader: requests a lease and writes this controller's leader record, attached to
 * that lease, on condition that no leader record exists.
 */
final class LeaderCampaign {
    private static final long NO_LEASE = 0;
    private static final Condition NO_LEADER = new Condition(LeaderRecord.KEY, 0);

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final String incarnation;
    private final LeaderLease lease;

    /**
     * @param lease records the granted lease
     */
    LeaderCampaign(
            KeyValueStoreClient store,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts,
            String incarnation,
            LeaderLease lease) {
        this.store = store;
        this.loop = loop;
        this.settings = settings;
        this.timeouts = timeouts;
        this.incarnation = incarnation;
        this.lease = lease;
    }

    /**
     * Tries once to become leader.
     *
     * @param onAnswer receives the result of writing the leader record
     * @param onNoLease runs instead if no lease was granted
     */
    void run(Consumer<CommitResult> onAnswer, Runnable onNoLease) {
        double requestedAt = loop.now();
        store.grantLease(
                timeouts.leaderLeaseSeconds(),
                leaseId -> {
                    if (leaseId == NO_LEASE) {
                        onNoLease.run();
                    } else {
                        lease.granted(leaseId, requestedAt);
                        writeRecord(leaseId, onAnswer);
                    }
                });
    }

    private void writeRecord(long leaseId, Consumer<CommitResult> onAnswer) {
        JsonNode record = LeaderRecord.encode(settings, incarnation);
        Write write = new Write(LeaderRecord.KEY, record, leaseId);
        store.compareAndSwap(List.of(NO_LEADER), List.of(write), onAnswer);
    }
}
