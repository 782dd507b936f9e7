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
 * The state service, with this controller's share of its limits.
 *
 * <p>All controllers share the limits without knowing of each other's use, so shares are generous
 * and a 429 is an ordinary answer that callers wait out.
 */
public final class StateStore {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);
    private static final byte[] EMPTY = new byte[0];
    private static final double LEADER_SHARE = 0.6;
    private static final double FOLLOWER_SHARE = 0.4;
    private static final int MAX_QUEUED = 256;

    private final HttpClient http;
    private final Loop loop;
    private final Settings settings;
    private final double timeoutS;
    private final RateLimit requests;
    private final RateLimit writes;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private Settings.State limits;
    private boolean pumping;
    private boolean reachable;
    private boolean refuses;
    private double lastServed = Double.NEGATIVE_INFINITY;
    private DoubleConsumer onCommit = since -> {};

    private record Waiting(Request request, int writes, Consumer<Reply> done) {}

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
        requests = new RateLimit(settings.state().requestsPerS() * FOLLOWER_SHARE, loop.now());
        writes = new RateLimit(settings.state().writesPerS() * FOLLOWER_SHARE, loop.now());
    }

    /** The leader writes the rounds of all, so it takes the larger share. */
    public void setLeading(boolean leading) {
        double share = leading ? LEADER_SHARE : FOLLOWER_SHARE;
        requests.setRate(settings.state().requestsPerS() * share, loop.now());
        writes.setRate(settings.state().writesPerS() * share, loop.now());
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

    /** Requests that wait for their turn; a measure of overload. */
    public int backlog() {
        return queue.size();
    }

    public boolean full() {
        return queue.size() >= MAX_QUEUED;
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
        list(prefix, null, new ArrayList<>(), -1, done);
    }

    private void list(
            String prefix,
            String after,
            List<Entry> found,
            long firstRevision,
            Consumer<Page> done) {
        now(
                "GET",
                StateMessages.listPath(prefix, after),
                EMPTY,
                timeoutS * 4,
                reply -> {
                    Page page = reply.ok() ? parse(reply, StateMessages::page) : null;
                    if (page == null) {
                        done.accept(null);
                        return;
                    }
                    found.addAll(page.entries());
                    // Pages may be of different revisions: the first one's is what a watch has to
                    // go on from.
                    long revision = firstRevision < 0 ? page.revision() : firstRevision;
                    if (page.more() && !page.entries().isEmpty()) {
                        list(
                                prefix,
                                page.entries().get(page.entries().size() - 1).key(),
                                found,
                                revision,
                                done);
                    } else {
                        done.accept(new Page(found, false, revision));
                    }
                });
    }

    public void commit(
            List<Condition> conditions, List<Write> changes, Consumer<CommitResult> done) {
        byte[] body = StateMessages.commit(conditions, changes);
        double since = loop.now();
        Settings.State under = limits;
        enqueue(
                new Waiting(
                        new Request(
                                settings.stateAddress(),
                                "POST",
                                StateMessages.COMMIT,
                                body,
                                timeoutS),
                        changes.size(),
                        reply -> {
                            CommitResult result = commitResult(reply, changes, under);
                            if (result.outcome() != Outcome.UNKNOWN) {
                                onCommit.accept(since);
                            }
                            done.accept(result);
                        }));
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
        requests.take(1, loop.now());
        send(new Request(settings.stateAddress(), method, path, body, timeoutS), done);
    }

    private void enqueue(Waiting waiting) {
        queue.add(waiting);
        if (!pumping) {
            pump();
        }
    }

    private void pump() {
        pumping = false;
        while (!queue.isEmpty()) {
            Waiting next = queue.peek();
            double wait =
                    Math.max(
                            requests.waitFor(1, loop.now()),
                            writes.waitFor(next.writes(), loop.now()));
            if (wait > 0) {
                pumping = true;
                loop.after(wait, this::pump);
                return;
            }
            queue.poll();
            requests.take(1, loop.now());
            writes.take(next.writes(), loop.now());
            send(next.request(), next.done());
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
