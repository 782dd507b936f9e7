package org.springmill.control.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.Json;
import org.springmill.protocol.Settings;
import org.springmill.protocol.StateMessages;
import org.springmill.protocol.StateMessages.Changes;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Entry;
import org.springmill.protocol.StateMessages.Page;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.Loop;

/**
 * The state service, with this controller's share of its limits: transactions wait for their turn
 * in a queue, everything else is sent at once.
 */
public final class StateStore {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);
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
    private final Loop loop;
    private final Settings settings;
    private final double timeoutS;
    private final RateLimit requests;
    private final RateLimit writes;

    /** Transactions on which work that was accepted depends. */
    private final ArrayDeque<Waiting> workQueue = new ArrayDeque<>();

    /** Transactions that accept new work. */
    private final ArrayDeque<Waiting> acceptanceQueue = new ArrayDeque<>();

    /** The queue that the latest transaction came from. */
    private ArrayDeque<Waiting> servedQueue = acceptanceQueue;

    private Share share = Share.WHOLE;
    private Settings.State limits;
    private int queuedWrites;
    private boolean pumping;
    private boolean reachable;
    private boolean refuses;
    private double lastServed = Double.NEGATIVE_INFINITY;
    private DoubleConsumer onCommit = since -> {};

    private record Waiting(Request request, int writes, Consumer<Reply> done) {}

    /** This controller's share of what the state service takes from all of them. */
    public interface Share {
        /** All of it, for as long as nothing else is said. */
        Share WHOLE =
                new Share() {
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
    public enum Outcome {
        COMMITTED,
        /**
         * A condition did not hold, the lease named has ended, or the form is wrong; nothing was
         * changed.
         */
        REFUSED,
        /**
         * Larger than the service takes; nothing was changed. From now on smaller limits are kept
         * to.
         */
        TOO_LARGE,
        /** Nothing was changed, but the same may be tried again. */
        NOT_NOW,
        /** No answer: it may have been applied, or may yet be. */
        UNKNOWN
    }

    /**
     * What came of a transaction.
     *
     * @param revision of the commit, when it was applied
     * @param failed keys whose conditions did not hold
     */
    public record CommitResult(Outcome outcome, long revision, List<String> failed) {}

    /** How a renewal ended. */
    public enum Renewal {
        RENEWED,
        ENDED,
        UNKNOWN
    }

    /** A read: served or not, and if served the entry, or its absence at a revision. */
    public record ReadResult(boolean served, Entry entry, long revision) {}

    public StateStore(HttpClient http, Loop loop, Settings settings, double timeoutS) {
        this.http = http;
        this.loop = loop;
        this.settings = settings;
        this.timeoutS = timeoutS;
        limits = settings.state();
        double commitsPerS = settings.state().requestsPerS() * COMMIT_REQUEST_SHARE;
        requests = new RateLimit(commitsPerS, loop.now());
        writes = new RateLimit(settings.state().writesPerS(), loop.now());
    }

    /** From now on keeps to a share of the limits. */
    public void keepTo(Share newShare) {
        share = newShare;
        applyShare();
    }

    private void applyShare() {
        double current = share.current();
        double commitsPerS = settings.state().requestsPerS() * COMMIT_REQUEST_SHARE;
        double writesPerS = settings.state().writesPerS();
        requests.setRate(commitsPerS * current, commitsPerS * BURST_SHARE, loop.now());
        writes.setRate(writesPerS * current, writesPerS * BURST_SHARE, loop.now());
    }

    /** Whether the last request that came to an end was served. */
    public boolean reachable() {
        return reachable;
    }

    /**
     * Whether its last answer was that it serves nothing: it, or the way to it, was there to say
     * so.
     */
    public boolean refuses() {
        return refuses;
    }

    public double lastServed() {
        return lastServed;
    }

    /** Told of every commit that was answered, with the time at which it was asked for. */
    public void onCommit(DoubleConsumer taker) {
        onCommit = taker;
    }

    /** Read barriers that this controller may ask for in a second. */
    public double barriersPerS() {
        return settings.state().requestsPerS() * BARRIER_REQUEST_SHARE / settings.controllers();
    }

    /** Lookups of moved records that this controller may ask for in a second. */
    public double lookupsPerS() {
        return settings.state().requestsPerS() * LOOKUP_REQUEST_SHARE / settings.controllers();
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
        now(
                "GET",
                StateMessages.keyPath(key),
                EMPTY,
                timeoutS,
                reply -> {
                    if (reply.ok()) {
                        Entry entry = parse(reply, StateMessages::entry);
                        done.accept(new ReadResult(entry != null, entry, 0));
                    } else {
                        Long revision =
                                reply.status() == 404
                                        ? parse(reply, StateMessages::revision)
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
        now(
                "GET",
                StateMessages.listPath(prefix, after),
                EMPTY,
                timeoutS * 4,
                reply -> {
                    Page page = reply.ok() ? parse(reply, StateMessages::page) : null;
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
    public void commit(
            List<Condition> conditions, List<Write> changes, Consumer<CommitResult> done) {
        enqueue(workQueue, waiting(conditions, changes, done));
    }

    /**
     * Commits changes that accept new work, in turns with those of {@link #commit}. What has not
     * been sent by the given time never is: {@link Outcome#NOT_NOW}.
     */
    public void commitAcceptance(
            List<Condition> conditions,
            List<Write> changes,
            double sendBy,
            Consumer<CommitResult> done) {
        Waiting waiting = waiting(conditions, changes, done);
        enqueue(acceptanceQueue, waiting);
        if (acceptanceQueue.contains(waiting)) {
            loop.after(sendBy - loop.now(), () -> giveUp(waiting));
        }
    }

    private void giveUp(Waiting waiting) {
        if (acceptanceQueue.remove(waiting)) {
            queued(-waiting.writes());
            waiting.done().accept(Reply.NOT_SENT);
        }
    }

    private Waiting waiting(
            List<Condition> conditions, List<Write> changes, Consumer<CommitResult> done) {
        byte[] body = StateMessages.commit(conditions, changes);
        Request request =
                new Request(settings.stateAddress(), "POST", StateMessages.COMMIT, body, timeoutS);
        double since = loop.now();
        Settings.State under = limits;
        return new Waiting(
                request,
                changes.size(),
                reply -> {
                    CommitResult result = commitResult(reply, changes, under);
                    if (result.outcome() != Outcome.UNKNOWN) {
                        onCommit.accept(since);
                    }
                    done.accept(result);
                });
    }

    private CommitResult commitResult(Reply reply, List<Write> changes, Settings.State under) {
        try {
            return switch (reply.status()) {
                case 200 ->
                        new CommitResult(
                                Outcome.COMMITTED, StateMessages.revision(reply.body()), List.of());
                case 409 ->
                        new CommitResult(Outcome.REFUSED, 0, StateMessages.failed(reply.body()));
                case 400 -> {
                    LOG.debug(
                            "commit refused: {}",
                            new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8));
                    boolean size =
                            !StateMessages.leaseEnded(reply.body())
                                    && mayBeTooLarge(changes, under);
                    yield new CommitResult(
                            size ? Outcome.TOO_LARGE : Outcome.REFUSED, 0, List.of());
                }
                case 429, 503, -1 -> new CommitResult(Outcome.NOT_NOW, 0, List.of());
                default -> new CommitResult(Outcome.UNKNOWN, 0, List.of());
            };
        } catch (BadMessageException e) {
            LOG.warn("state service: {}", e.getMessage());
            return new CommitResult(Outcome.UNKNOWN, 0, List.of());
        }
    }

    /**
     * Whether a refused transaction may have been too large for the service, rather than wrong: if
     * it would be smaller under half the limits that it was made under. Those limits are halved
     * then, so that this ends.
     */
    private boolean mayBeTooLarge(List<Write> changes, Settings.State under) {
        int largest = 0;
        for (Write write : changes) {
            largest =
                    Math.max(largest, write.value() == null ? 0 : Json.bytes(write.value()).length);
        }
        Settings.State half = under.halved();
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
    public void grant(double ttlS, LongConsumer done) {
        now(
                "POST",
                StateMessages.LEASES,
                StateMessages.grant(Math.round(ttlS * 1000)),
                timeoutS,
                reply -> {
                    Long lease = reply.ok() ? parse(reply, StateMessages::granted) : null;
                    done.accept(lease == null ? 0 : lease);
                });
    }

    public void renew(long lease, Consumer<Renewal> done) {
        now(
                "POST",
                StateMessages.renewPath(lease),
                EMPTY,
                timeoutS,
                reply ->
                        done.accept(
                                reply.ok()
                                        ? Renewal.RENEWED
                                        : reply.status() == 404 ? Renewal.ENDED : Renewal.UNKNOWN));
    }

    public void revoke(long lease, Runnable done) {
        now("DELETE", StateMessages.leasePath(lease), EMPTY, timeoutS, reply -> done.run());
    }

    /** Changes since a revision. */
    public void changes(String prefix, long from, double waitS, Consumer<ChangesResult> done) {
        now(
                "GET",
                StateMessages.changesPath(prefix, from, Math.round(waitS * 1000)),
                EMPTY,
                timeoutS + waitS,
                reply -> {
                    Changes changes = reply.ok() ? parse(reply, StateMessages::changes) : null;
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
    private void now(
            String method, String path, byte[] body, double timeoutS, Consumer<Reply> done) {
        send(new Request(settings.stateAddress(), method, path, body, timeoutS), done);
    }

    private void enqueue(ArrayDeque<Waiting> queue, Waiting waiting) {
        queue.add(waiting);
        queued(waiting.writes());
        if (!pumping || queue == workQueue) {
            pump();
        }
    }

    private void queued(int change) {
        queuedWrites += change;
        share.queued(queuedWrites);
    }

    private void pump() {
        while (backlog() > 0) {
            applyShare();
            ArrayDeque<Waiting> queue = nextQueue();
            Waiting next = queue.peek();
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
    private ArrayDeque<Waiting> nextQueue() {
        if (workQueue.isEmpty()) {
            return acceptanceQueue;
        }
        boolean workWasServed = servedQueue == workQueue;
        return workWasServed && !acceptanceQueue.isEmpty() ? acceptanceQueue : workQueue;
    }

    /** The share may grow meanwhile, so a long wait is cut into parts. */
    private void pumpAfter(double seconds) {
        if (!pumping) {
            pumping = true;
            loop.after(
                    Math.min(seconds, timeoutS / 4),
                    () -> {
                        pumping = false;
                        pump();
                    });
        }
    }

    private void send(Request request, Consumer<Reply> done) {
        http.send(
                request,
                reply -> {
                    if (reply.answered() && reply.status() != 503) {
                        reachable = true;
                        refuses = false;
                        lastServed = loop.now();
                    } else {
                        reachable = false;
                        refuses |= reply.answered();
                    }
                    done.accept(reply);
                });
    }

    @FunctionalInterface
    private interface Parser<T> {
        T parse(byte[] body) throws BadMessageException;
    }

    private static <T> T parse(Reply reply, Parser<T> parser) {
        try {
            return parser.parse(reply.body());
        } catch (BadMessageException e) {
            LOG.warn("state service: {}", e.getMessage());
            return null;
        }
    }

    /** The limits that records and transactions have to keep to now. */
    public Settings.State limits() {
        return limits;
    }
}
