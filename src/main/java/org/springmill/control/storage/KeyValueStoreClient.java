package org.springmill.control.storage;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.LongConsumer;
import org.springmill.control.storage.CommitQueue.QueuedCommit;
import org.springmill.protocol.KeyValueStoreMessages;
import org.springmill.protocol.KeyValueStoreMessages.Changes;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Client of the consensus-backed key-value store. Transactions wait in a queue for this
 * controller's share of the store's rate limits; reads and lease requests are few and others wait
 * for them, so they are sent at once.
 */
public final class KeyValueStoreClient {
    /** Of the requests that the store takes, the part for read barriers of all controllers. */
    private static final double BARRIER_REQUEST_SHARE = 0.4;

    /** Of the requests, the part for lookups of archived records by all controllers. */
    private static final double LOOKUP_REQUEST_SHARE = 0.15;

    private static final int NOT_FOUND = 404;

    private final EventLoop loop;
    private final Settings settings;
    private final double timeoutSeconds;
    private final KeyValueStoreConnection connection;
    private final KeyValueStoreReads reads;
    private final CommitQueue commitQueue;
    private final CommitResponses commitResponses;
    private DoubleConsumer onCommitAnswered = requestedAt -> {};

    /** This controller's share of the rate limits of the key-value store. */
    public interface RateShare {
        /** The whole of the limits, which applies until another share is set. */
        RateShare WHOLE =
                new RateShare() {
                    @Override
                    public double current() {
                        return 1;
                    }

                    @Override
                    public void sent(int writes) {}

                    @Override
                    public void queued(int writes) {}
                };

        /** The share that may be used now, between 0 and 1. */
        double current();

        /** Called when a transaction of so many writes was sent. */
        void sent(int writes);

        /** Called with the number of queued writes whenever it has changed. */
        void queued(int writes);
    }

    /** How a transaction ended. */
    public enum CommitOutcome {
        /** Applied. */
        COMMITTED,
        /**
         * A condition did not hold, a lease that it names has expired, or the store found it
         * malformed; nothing was changed.
         */
        REJECTED,
        /**
         * Larger than the store takes; nothing was changed. {@link #limits} are lower from now on.
         */
        TOO_LARGE,
        /** Nothing was changed; the same transaction may be sent again. */
        RETRYABLE,
        /** No response: it may have been applied, or may be applied later. */
        UNKNOWN
    }

    /**
     * The result of a transaction.
     *
     * @param revision of the commit if it was applied, else 0
     * @param failed keys whose conditions did not hold
     */
    public record CommitResult(CommitOutcome outcome, long revision, List<String> failed) {}

    /** How the renewal of a lease ended. */
    public enum LeaseRenewal {
        /** The lease is valid for another whole time to live. */
        RENEWED,
        /** The lease has expired or was revoked. */
        ENDED,
        /** No usable response: the lease may or may not have been renewed. */
        UNKNOWN
    }

    /**
     * The result of a read of one key.
     *
     * @param served whether the store answered
     * @param entry null if the key is absent or the read was not served
     * @param revision at which the key was absent; 0 otherwise
     */
    public record ReadResult(boolean served, Entry entry, long revision) {}

    /**
     * The result of a read of changes.
     *
     * @param changes null if not served
     * @param tooOld whether the store no longer has the changes since that revision, so that the
     *     keys have to be listed anew
     */
    public record ChangesResult(Changes changes, boolean tooOld) {}

    /**
     * A client that may use the whole of the rate limits until {@link #useShare} sets a share.
     *
     * @param timeoutSeconds for a request that the store answers without waiting
     */
    public KeyValueStoreClient(
            HttpClient http, EventLoop loop, Settings settings, double timeoutSeconds) {
        this.loop = loop;
        this.settings = settings;
        this.timeoutSeconds = timeoutSeconds;
        connection = new KeyValueStoreConnection(http, loop, settings.storeAddress());
        reads = new KeyValueStoreReads(connection, timeoutSeconds);
        commitQueue =
                new CommitQueue(loop, settings.storeLimits(), timeoutSeconds, connection::send);
        commitResponses = new CommitResponses(settings.storeLimits());
    }

    /** Keeps to a share of the rate limits from now on. */
    public void useShare(RateShare share) {
        commitQueue.useShare(share);
    }

    /** Whether the latest request that ended was served. */
    public boolean isReachable() {
        return connection.isReachable();
    }

    /**
     * Whether a request was answered, with the status that the service is unavailable, since the
     * latest one that was served: the store, or a proxy before it, can be reached over the network.
     */
    public boolean isRefusing() {
        return connection.isRefusing();
    }

    /** When the latest served request ended, in seconds of the loop's clock. */
    public double lastServedAt() {
        return connection.lastServedAt();
    }

    /**
     * Sets what is called for every transaction that was answered, with the time at which it was
     * asked for in seconds of the loop's clock.
     */
    public void onCommitAnswered(DoubleConsumer listener) {
        onCommitAnswered = listener;
    }

    /** Read barriers that this controller may ask for in a second. */
    public double barriersPerSecond() {
        return requestsPerSecond(BARRIER_REQUEST_SHARE);
    }

    /** Lookups of archived records that this controller may ask for in a second. */
    public double lookupsPerSecond() {
        return requestsPerSecond(LOOKUP_REQUEST_SHARE);
    }

    private double requestsPerSecond(double share) {
        return settings.storeLimits().requestsPerSecond() * share / settings.controllers();
    }

    /** Number of queued transactions; a measure of overload. */
    public int backlog() {
        return commitQueue.size();
    }

    /** Seconds that one more transaction of so many writes would wait under the present share. */
    public double expectedWaitSeconds(int writes) {
        return commitQueue.expectedWaitSeconds(writes);
    }

    /** The size limits that records and transactions have to keep to now. */
    public Settings.StoreLimits limits() {
        return commitResponses.limits();
    }

    /** Reads one key. */
    public void get(String key, Consumer<ReadResult> done) {
        reads.get(key, done);
    }

    /**
     * Reads all keys with a prefix.
     *
     * @param done takes all entries as one page, or null if they could not be read
     */
    public void list(String prefix, Consumer<Page> done) {
        reads.list(prefix, done);
    }

    /**
     * Reads all keys with a prefix page by page, for what is too much to be held at once.
     *
     * @param pageConsumer takes the entries of each page as it comes
     * @param done takes the revision of the first page, from which a watch has to go on since later
     *     pages may be of later ones; negative if a page could not be read
     */
    public void list(String prefix, Consumer<List<Entry>> pageConsumer, LongConsumer done) {
        reads.list(prefix, pageConsumer, done);
    }

    /**
     * Reads the changes of keys with a prefix since a revision.
     *
     * @param waitSeconds how long the store may wait for a change
     */
    public void changes(
            String prefix, long fromRevision, double waitSeconds, Consumer<ChangesResult> done) {
        reads.changes(prefix, fromRevision, waitSeconds, done);
    }

    /** Commits writes on which work that was accepted depends, if all conditions hold. */
    public void compareAndSwap(
            List<Condition> conditions, List<Write> writes, Consumer<CommitResult> done) {
        commitQueue.addWork(queuedCommit(conditions, writes, done));
    }

    /**
     * Commits writes that accept new work, if all conditions hold, in turns with those of {@link
     * #compareAndSwap}. If it has not been sent by the given time, it never is, and the outcome is
     * {@link CommitOutcome#RETRYABLE}.
     *
     * @param sendBy in seconds of the loop's clock
     */
    public void compareAndSwapAcceptance(
            List<Condition> conditions,
            List<Write> writes,
            double sendBy,
            Consumer<CommitResult> done) {
        commitQueue.addAcceptance(queuedCommit(conditions, writes, done), sendBy);
    }

    private QueuedCommit queuedCommit(
            List<Condition> conditions, List<Write> writes, Consumer<CommitResult> done) {
        byte[] body = KeyValueStoreMessages.encodeTransaction(conditions, writes);
        Request request =
                connection.request("POST", KeyValueStoreMessages.COMMIT_PATH, body, timeoutSeconds);
        double requestedAt = loop.now();
        Settings.StoreLimits encodedUnder = limits();
        Consumer<Reply> onReply =
                reply -> {
                    CommitResult result = commitResponses.interpret(reply, writes, encodedUnder);
                    if (result.outcome() != CommitOutcome.UNKNOWN) {
                        onCommitAnswered.accept(requestedAt);
                    }
                    done.accept(result);
                };
        return new QueuedCommit(request, writes.size(), onReply);
    }

    /**
     * Takes a lease.
     *
     * @param done takes the number of the lease; 0 if none was granted
     */
    public void grantLease(double ttlSeconds, LongConsumer done) {
        byte[] body = KeyValueStoreMessages.encodeLeaseRequest(Math.round(ttlSeconds * 1000));
        connection.post(
                KeyValueStoreMessages.LEASES_PATH,
                body,
                timeoutSeconds,
                reply ->
                        done.accept(
                                KeyValueStoreConnection.parseIfOk(
                                                reply, KeyValueStoreMessages::decodeLease)
                                        .orElse(0L)));
    }

    /** Renews a lease for another whole time to live. */
    public void renewLease(long lease, Consumer<LeaseRenewal> done) {
        connection.post(
                KeyValueStoreMessages.renewPath(lease),
                timeoutSeconds,
                reply -> done.accept(leaseRenewal(reply)));
    }

    private static LeaseRenewal leaseRenewal(Reply reply) {
        if (reply.ok()) {
            return LeaseRenewal.RENEWED;
        }
        return reply.status() == NOT_FOUND ? LeaseRenewal.ENDED : LeaseRenewal.UNKNOWN;
    }

    /**
     * Ends a lease, so that the keys bound to it are deleted.
     *
     * @param done called whether or not the store answered
     */
    public void revokeLease(long lease, Runnable done) {
        connection.delete(
                KeyValueStoreMessages.leasePath(lease), timeoutSeconds, reply -> done.run());
    }
}
