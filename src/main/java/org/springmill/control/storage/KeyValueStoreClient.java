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
 * Client of the consensus-backed key-value store. Transactions are queued to keep within this
 * controller's share of the store's rate limits. Reads and lease requests are few and other
 * operations wait for them, so they are sent immediately.
 */
public final class KeyValueStoreClient {
    /** Share of the store's request rate limit for the read barriers of all controllers. */
    private static final double BARRIER_REQUEST_SHARE = 0.4;

    /** Share of the request rate limit for lookups of archived records by all controllers. */
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
        /** The whole rate limits; applies until another share is set. */
        RateShare WHOLE =
                new RateShare() {
                    @Override
                    public double current() {
                        return 1;
                    }

                    @Override
                    public void recordSent(int writes) {}

                    @Override
                    public void recordQueued(int writes) {}
                };

        /** The current share, between 0 and 1. */
        double current();

        /** Called with the number of writes of each transaction that is sent. */
        void recordSent(int writes);

        /** Called with the number of queued writes whenever it has changed. */
        void recordQueued(int writes);
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
         * Larger than the store accepts; nothing was changed. {@link #limits} have been lowered.
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
        /** The lease is valid for another full time to live. */
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
     *     keys have to be listed again
     */
    public record ChangesResult(Changes changes, boolean tooOld) {}

    /**
     * Creates a client that may use the whole rate limits until {@link #useShare} sets a share.
     *
     * @param timeoutSeconds for requests that do not ask the store to wait for changes
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

    /** Sets the share of the rate limits that applies from now on. */
    public void useShare(RateShare share) {
        commitQueue.useShare(share);
    }

    /** Whether the last request that ended was answered with a status other than 503. */
    public boolean isReachable() {
        return connection.isReachable();
    }

    /**
     * Whether a request was answered with status 503 since the last served one. If so, the store or
     * a proxy in front of it can be reached over the network.
     */
    public boolean isRefusing() {
        return connection.isRefusing();
    }

    /** When the last served request ended, in seconds of the loop's clock. */
    public double lastServedAt() {
        return connection.lastServedAt();
    }

    /**
     * Sets the listener for transactions that were answered. It receives the time at which the
     * transaction was requested, in seconds of the loop's clock.
     */
    public void onCommitAnswered(DoubleConsumer listener) {
        onCommitAnswered = listener;
    }

    /** Read barriers that this controller may request per second. */
    public double barriersPerSecond() {
        return requestsPerSecond(BARRIER_REQUEST_SHARE);
    }

    /** Lookups of archived records that this controller may request per second. */
    public double lookupsPerSecond() {
        return requestsPerSecond(LOOKUP_REQUEST_SHARE);
    }

    private double requestsPerSecond(double share) {
        return settings.storeLimits().requestsPerSecond() * share / settings.controllers();
    }

    /** Number of queued transactions. */
    public int backlog() {
        return commitQueue.size();
    }

    /**
     * Seconds that another transaction with this number of writes would wait at the current share.
     */
    public double expectedWaitSeconds(int writes) {
        return commitQueue.expectedWaitSeconds(writes);
    }

    /** The current size limits of records and transactions. */
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
     * @param done receives all entries as one page, or null if they could not be read
     */
    public void list(String prefix, Consumer<Page> done) {
        reads.list(prefix, done);
    }

    /**
     * Reads all keys with a prefix page by page, for lists that are too large to hold in memory.
     *
     * @param pageConsumer receives the entries of each page as it arrives
     * @param done receives the revision of the first page, or a negative number if a page could not
     *     be read. A watch has to start from that revision, since later pages may have later ones.
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

    /** Commits writes that do not accept new jobs, if all conditions hold. */
    public void compareAndSwap(
            List<Condition> conditions, List<Write> writes, Consumer<CommitResult> done) {
        commitQueue.addRegular(queuedCommit(conditions, writes, done));
    }

    /**
     * Commits writes that accept new jobs, if all conditions hold. Queued transactions of this
     * method and of {@link #compareAndSwap} are sent alternately. A transaction that has not been
     * sent by the given time is dropped, with the outcome {@link CommitOutcome#RETRYABLE}.
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
     * Requests a lease.
     *
     * @param done receives the number of the lease; 0 if none was granted
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

    /** Renews a lease for another full time to live. */
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
