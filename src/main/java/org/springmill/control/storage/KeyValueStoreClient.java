package org.springmill.control.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages;
import org.springmill.protocol.KeyValueStoreMessages.Changes;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * The key-value store, with this controller's share of its limits: transactions wait for their turn
 * in a queue, everything else is sent at once.
 */
public final class KeyValueStoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);
    private static final byte[] EMPTY = new byte[0];
    private static final long FIRST_PAGE = -1;
    private static final long NOT_READ = -1;

    /** Of the requests that the service takes, what transactions of all controllers may be. */
    private static final double COMMIT_REQUEST_SHARE = 0.4;

    /**
     * Of what the service takes in a second, what a controller that has sent little may send at
     * once, whatever its share: users come in bursts, and seldom to all controllers at the same
     * moment. If they do, the service answers some with 429, which are sent again.
     */
    private static final double BURST_SHARE = 0.4;

    /** Of the requests, what read barriers of all controllers may be. */
    private static final double BARRIER_REQUEST_SHARE = 0.4;

    /** Of the requests, what lookups of moved records by all controllers may be. */
    private static final double LOOKUP_REQUEST_SHARE = 0.15;

    private final HttpClient http;
    private final EventLoop loop;
    private final Settings settings;
    private final double timeoutSeconds;
    private final RateLimit requests;
    private final RateLimit writes;

    /** Transactions on which work that was accepted depends. */
    private final ArrayDeque<QueuedCommit> workQueue = new ArrayDeque<>();

    /** Transactions that accept new work. */
    private final ArrayDeque<QueuedCommit> acceptanceQueue = new ArrayDeque<>();

    /** The queue that the latest transaction came from. */
    private ArrayDeque<QueuedCommit> servedQueue = acceptanceQueue;

    private RateShare share = RateShare.WHOLE;
    private Settings.StoreLimits limits;
    private int queuedWrites;
    private boolean draining;
    private boolean reachable;
    private boolean isRefusing;
    private double lastServed = Double.NEGATIVE_INFINITY;
    private DoubleConsumer onCommit = since -> {};

    private record QueuedCommit(Request request, int writes, Consumer<Reply> done) {}

    /** This controller's share of what the key-value store takes from all of them. */
    public interface RateShare {
        /** All of it, for as long as nothing else is said. */
        RateShare WHOLE =
                new RateShare() {
                    @Override
                    public double current() {
                        return 1;
                    }

                    @Override
                    public void sent(int changes) {}

                    @Override
                    public void queued(int changes) {}
                };

        /** The share that may be used at this moment. */
        double current();

        /** Told of changes that were sent. */
        void sent(int changes);

        /** Told of how many changes wait for their turn. */
        void queued(int changes);
    }

    /** How a commit ended. */
    public enum CommitOutcome {
        COMMITTED,
        /**
         * A condition did not hold, the lease named has ended, or the form is wrong; nothing was
         * changed.
         */
        REJECTED,
        /**
         * Larger than the service takes; nothing was changed. From now on smaller limits are kept
         * to.
         */
        TOO_LARGE,
        /** Nothing was changed, but the same may be tried again. */
        RETRYABLE,
        /** No answer: it may have been applied, or may yet be. */
        UNKNOWN
    }

    /**
     * What came of a transaction.
     *
     * @param revision of the commit, when it was applied
     * @param failed keys whose conditions did not hold
     */
    public record CommitResult(CommitOutcome outcome, long revision, List<String> failed) {}

    /** How a renewal ended. */
    public enum LeaseRenewal {
        RENEWED,
        ENDED,
        UNKNOWN
    }

    /** A read: served or not, and if served the entry, or its absence at a revision. */
    public record ReadResult(boolean served, Entry entry, long revision) {}

    public KeyValueStoreClient(
            HttpClient http, EventLoop loop, Settings settings, double timeoutSeconds) {
        this.http = http;
        this.loop = loop;
        this.settings = settings;
        this.timeoutSeconds = timeoutSeconds;
        limits = settings.storeLimits();
        double commitsPerSecond = settings.storeLimits().requestsPerSecond() * COMMIT_REQUEST_SHARE;
        requests = new RateLimit(commitsPerSecond, loop.now());
        writes = new RateLimit(settings.storeLimits().writesPerSecond(), loop.now());
    }

    /** From now on keeps to a share of the limits. */
    public void useShare(RateShare newShare) {
        share = newShare;
        applyShare();
    }

    private void applyShare() {
        double current = share.current();
        double commitsPerSecond = settings.storeLimits().requestsPerSecond() * COMMIT_REQUEST_SHARE;
        double writesPerSecond = settings.storeLimits().writesPerSecond();
        requests.setRate(commitsPerSecond * current, commitsPerSecond * BURST_SHARE, loop.now());
        writes.setRate(writesPerSecond * current, writesPerSecond * BURST_SHARE, loop.now());
    }

    /** Whether the last request that came to an end was served. */
    public boolean reachable() {
        return reachable;
    }

    /**
     * Whether its last answer was that it serves nothing: it, or the way to it, was there to say
     * so.
     */
    public boolean isRefusing() {
        return isRefusing;
    }

    public double lastServed() {
        return lastServed;
    }

    /** Told of every commit that was answered, with the time at which it was asked for. */
    public void onCommit(DoubleConsumer taker) {
        onCommit = taker;
    }

    /** Read barriers that this controller may ask for in a second. */
    public double barriersPerSecond() {
        return settings.storeLimits().requestsPerSecond()
                * BARRIER_REQUEST_SHARE
                / settings.controllers();
    }

    /** Lookups of moved records that this controller may ask for in a second. */
    public double lookupsPerSecond() {
        return settings.storeLimits().requestsPerSecond()
                * LOOKUP_REQUEST_SHARE
                / settings.controllers();
    }

    /** Transactions that wait for their turn; a measure of overload. */
    public int backlog() {
        return workQueue.size() + acceptanceQueue.size();
    }

    /** How long one more transaction of so many changes would wait, by the present share. */
    public double expectedWaitSeconds(int changes) {
        applyShare();
        double forWrites = writes.secondsUntil(queuedWrites + changes, loop.now());
        double forRequests = requests.secondsUntil(backlog() + 1, loop.now());
        return Math.max(forWrites, forRequests);
    }

    public void get(String key, Consumer<ReadResult> done) {
        sendNow(
                "GET",
                KeyValueStoreMessages.keyPath(key),
                EMPTY,
                timeoutSeconds,
                reply -> {
                    if (reply.ok()) {
                        Entry entry = parse(reply, KeyValueStoreMessages::entry);
                        done.accept(new ReadResult(entry != null, entry, 0));
                    } else {
                        Long revision =
                                reply.status() == 404
                                        ? parse(reply, KeyValueStoreMessages::revision)
                                        : null;
                        done.accept(
                                new ReadResult(
                                        revision != null, null, revision == null ? 0 : revision));
                    }
                });
    }

    /** Reads all keys with a prefix; null if it could not be done. */
    public void list(String prefix, Consumer<Page> done) {
        List<Entry> found = new ArrayList<>();
        list(
                prefix,
                found::addAll,
                revision -> done.accept(revision < 0 ? null : new Page(found, false, revision)));
    }

    /**
     * Reads all keys with a prefix page by page, for what is too much to be held at once.
     *
     * @param page takes the entries of each page as it comes
     * @param done takes the revision of the first page, from which a watch has to go on since later
     *     pages may be of later ones; negative if a page could not be read
     */
    public void list(String prefix, Consumer<List<Entry>> page, LongConsumer done) {
        list(prefix, null, FIRST_PAGE, page, done);
    }

    private void list(
            String prefix,
            String after,
            long firstRevision,
            Consumer<List<Entry>> taker,
            LongConsumer done) {
        sendNow(
                "GET",
                KeyValueStoreMessages.listPath(prefix, after),
                EMPTY,
                timeoutSeconds * 4,
                reply -> {
                    Page page = reply.ok() ? parse(reply, KeyValueStoreMessages::page) : null;
                    if (page == null) {
                        done.accept(NOT_READ);
                        return;
                    }
                    taker.accept(page.entries());
                    long revision = firstRevision == FIRST_PAGE ? page.revision() : firstRevision;
                    if (page.more() && !page.entries().isEmpty()) {
                        String last = page.entries().get(page.entries().size() - 1).key();
                        list(prefix, last, revision, taker, done);
                    } else {
                        done.accept(revision);
                    }
                });
    }

    /** Commits changes on which work that was accepted depends. */
    public void compareAndSwap(
            List<Condition> conditions, List<Write> changes, Consumer<CommitResult> done) {
        enqueue(workQueue, waiting(conditions, changes, done));
    }

    /**
     * Commits changes that accept new work, in turns with those of {@link #compareAndSwap}. What
     * has not been sent by the given time never is: {@link CommitOutcome#RETRYABLE}.
     */
    public void compareAndSwapAcceptance(
            List<Condition> conditions,
            List<Write> changes,
            double sendBy,
            Consumer<CommitResult> done) {
        QueuedCommit waiting = waiting(conditions, changes, done);
        enqueue(acceptanceQueue, waiting);
        if (acceptanceQueue.contains(waiting)) {
            loop.after(sendBy - loop.now(), () -> abandon(waiting));
        }
    }

    private void abandon(QueuedCommit waiting) {
        if (acceptanceQueue.remove(waiting)) {
            queued(-waiting.writes());
            waiting.done().accept(Reply.NOT_SENT);
        }
    }

    private QueuedCommit waiting(
            List<Condition> conditions, List<Write> changes, Consumer<CommitResult> done) {
        byte[] body = KeyValueStoreMessages.commit(conditions, changes);
        Request request =
                new Request(
                        settings.storeAddress(),
                        "POST",
                        KeyValueStoreMessages.COMMIT,
                        body,
                        timeoutSeconds);
        double since = loop.now();
        Settings.StoreLimits under = limits;
        return new QueuedCommit(
                request,
                changes.size(),
                reply -> {
                    CommitResult result = commitResult(reply, changes, under);
                    if (result.outcome() != CommitOutcome.UNKNOWN) {
                        onCommit.accept(since);
                    }
                    done.accept(result);
                });
    }

    private CommitResult commitResult(
            Reply reply, List<Write> changes, Settings.StoreLimits under) {
        try {
            return switch (reply.status()) {
                case 200 ->
                        new CommitResult(
                                CommitOutcome.COMMITTED,
                                KeyValueStoreMessages.revision(reply.body()),
                                List.of());
                case 409 ->
                        new CommitResult(
                                CommitOutcome.REJECTED,
                                0,
                                KeyValueStoreMessages.failed(reply.body()));
                case 400 -> {
                    LOG.debug(
                            "commit refused: {}",
                            new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8));
                    boolean size =
                            !KeyValueStoreMessages.leaseEnded(reply.body())
                                    && mayBeTooLarge(changes, under);
                    yield new CommitResult(
                            size ? CommitOutcome.TOO_LARGE : CommitOutcome.REJECTED, 0, List.of());
                }
                case 429, 503, -1 -> new CommitResult(CommitOutcome.RETRYABLE, 0, List.of());
                default -> new CommitResult(CommitOutcome.UNKNOWN, 0, List.of());
            };
        } catch (MalformedMessageException e) {
            LOG.warn("state service: {}", e.getMessage());
            return new CommitResult(CommitOutcome.UNKNOWN, 0, List.of());
        }
    }

    /**
     * Whether a refused transaction may have been too large for the service, rather than wrong: if
     * it would be smaller under half the limits that it was made under. Those limits are halved
     * then, so that this ends.
     */
    private boolean mayBeTooLarge(List<Write> changes, Settings.StoreLimits under) {
        int largest = 0;
        for (Write write : changes) {
            largest =
                    Math.max(largest, write.value() == null ? 0 : Json.bytes(write.value()).length);
        }
        Settings.StoreLimits half = under.halved();
        if (largest <= half.valueBytes() && changes.size() <= half.writesPerCommit()) {
            return false;
        }
        if (limits.equals(under)) {
            limits = half;
            LOG.warn(
                    "the state service takes less than the settings say: keeping to {} writes of {} bytes",
                    half.writesPerCommit(),
                    half.valueBytes());
        }
        return true;
    }

    /** Takes a lease; 0 if none was given. */
    public void grant(double ttlSeconds, LongConsumer done) {
        sendNow(
                "POST",
                KeyValueStoreMessages.LEASES,
                KeyValueStoreMessages.grant(Math.round(ttlSeconds * 1000)),
                timeoutSeconds,
                reply -> {
                    Long lease = reply.ok() ? parse(reply, KeyValueStoreMessages::granted) : null;
                    done.accept(lease == null ? 0 : lease);
                });
    }

    public void renew(long lease, Consumer<LeaseRenewal> done) {
        sendNow(
                "POST",
                KeyValueStoreMessages.renewPath(lease),
                EMPTY,
                timeoutSeconds,
                reply ->
                        done.accept(
                                reply.ok()
                                        ? LeaseRenewal.RENEWED
                                        : reply.status() == 404
                                                ? LeaseRenewal.ENDED
                                                : LeaseRenewal.UNKNOWN));
    }

    public void revoke(long lease, Runnable done) {
        sendNow(
                "DELETE",
                KeyValueStoreMessages.leasePath(lease),
                EMPTY,
                timeoutSeconds,
                reply -> done.run());
    }

    /** Changes since a revision. */
    public void changes(
            String prefix, long from, double waitSeconds, Consumer<ChangesResult> done) {
        sendNow(
                "GET",
                KeyValueStoreMessages.changesPath(prefix, from, Math.round(waitSeconds * 1000)),
                EMPTY,
                timeoutSeconds + waitSeconds,
                reply -> {
                    Changes changes =
                            reply.ok() ? parse(reply, KeyValueStoreMessages::changes) : null;
                    done.accept(new ChangesResult(changes, reply.status() == 410));
                });
    }

    /**
     * What a read of the changes brought.
     *
     * @param changes null if not served
     * @param tooOld whether the keys have to be read anew
     */
    public record ChangesResult(Changes changes, boolean tooOld) {}

    /** Sends past the queue. Reads and renewals are few and others wait for them. */
    private void sendNow(
            String method, String path, byte[] body, double timeoutSeconds, Consumer<Reply> done) {
        send(new Request(settings.storeAddress(), method, path, body, timeoutSeconds), done);
    }

    private void enqueue(ArrayDeque<QueuedCommit> queue, QueuedCommit waiting) {
        queue.add(waiting);
        queued(waiting.writes());
        if (!draining || queue == workQueue) {
            drainQueues();
        }
    }

    private void queued(int change) {
        queuedWrites += change;
        share.queued(queuedWrites);
    }

    private void drainQueues() {
        while (backlog() > 0) {
            applyShare();
            ArrayDeque<QueuedCommit> queue = nextQueue();
            QueuedCommit next = queue.peek();
            double wait =
                    Math.max(
                            requests.waitFor(1, loop.now()),
                            writes.waitFor(next.writes(), loop.now()));
            if (wait > 0) {
                pumpAfter(wait);
                return;
            }
            queue.poll();
            servedQueue = queue;
            queued(-next.writes());
            requests.take(1, loop.now());
            writes.take(next.writes(), loop.now());
            share.sent(next.writes());
            send(next.request(), next.done());
        }
    }

    /**
     * The queues take turns. Where work always went first, submissions at a leader with many rounds
     * waited for seconds; in turns each waits for one round, which has many more changes than it.
     */
    private ArrayDeque<QueuedCommit> nextQueue() {
        if (workQueue.isEmpty()) {
            return acceptanceQueue;
        }
        boolean workWasServed = servedQueue == workQueue;
        return workWasServed && !acceptanceQueue.isEmpty() ? acceptanceQueue : workQueue;
    }

    /** The share may grow meanwhile, so a long wait is cut into parts. */
    private void pumpAfter(double seconds) {
        if (!draining) {
            draining = true;
            loop.after(
                    Math.min(seconds, timeoutSeconds / 4),
                    () -> {
                        draining = false;
                        drainQueues();
                    });
        }
    }

    private void send(Request request, Consumer<Reply> done) {
        http.send(
                request,
                reply -> {
                    if (reply.answered() && reply.status() != 503) {
                        reachable = true;
                        isRefusing = false;
                        lastServed = loop.now();
                    } else {
                        reachable = false;
                        isRefusing |= reply.answered();
                    }
                    done.accept(reply);
                });
    }

    @FunctionalInterface
    private interface Parser<T> {
        T parse(byte[] body) throws MalformedMessageException;
    }

    private static <T> T parse(Reply reply, Parser<T> parser) {
        try {
            return parser.parse(reply.body());
        } catch (MalformedMessageException e) {
            LOG.warn("state service: {}", e.getMessage());
            return null;
        }
    }

    /** The limits that records and transactions have to keep to now. */
    public Settings.StoreLimits limits() {
        return limits;
    }
}
