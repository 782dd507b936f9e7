package org.springmill.control.storage;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.springmill.control.storage.KeyValueStoreClient.RateShare;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Queues transactions until this controller's share of the key-value store's rate limits allows
 * sending them. Transactions that accept new jobs have a queue of their own; it alternates with the
 * queue of all other transactions.
 */
final class CommitQueue {
    /** Share of the store's request rate limit for the transactions of all controllers. */
    private static final double COMMIT_REQUEST_SHARE = 0.4;

    /**
     * Share of {@link #commitsPerSecond} and {@link #writesPerSecond} that a controller may send in
     * one burst after a period of low use, even if its own share is smaller. Submissions come in
     * bursts, but seldom to all controllers at the same time. If they do, the store answers some
     * with 429, and those are retried.
     */
    private static final double BURST_SHARE = 0.4;

    /**
     * Longest wait before the queues are checked again, as a ratio of the request timeout; the
     * share may grow in the meantime.
     */
    private static final double MAX_WAIT_TIMEOUT_RATIO = 0.25;

    private final EventLoop loop;
    private final BiConsumer<Request, Consumer<Reply>> sender;
    private final double timeoutSeconds;

    /** Transactions that all controllers together may send per second. */
    private final double commitsPerSecond;

    /** Writes that all controllers together may send per second. */
    private final double writesPerSecond;

    private final TokenBucket commitLimit;
    private final TokenBucket writeLimit;

    /** Transactions that do not accept new jobs. */
    private final ArrayDeque<QueuedCommit> regularQueue = new ArrayDeque<>();

    /** Transactions that accept new jobs. */
    private final ArrayDeque<QueuedCommit> acceptanceQueue = new ArrayDeque<>();

    /** The queue from which the last transaction was sent. */
    private ArrayDeque<QueuedCommit> lastServedQueue = acceptanceQueue;

    private RateShare share = RateShare.WHOLE;
    private int queuedWrites;
    private boolean isDrainScheduled;

    /**
     * A transaction that has not been sent.
     *
     * @param writes number of its writes
     * @param onReply receives the reply, or {@link Reply#NOT_SENT}
     */
    record QueuedCommit(Request request, int writes, Consumer<Reply> onReply) {}

    /**
     * Creates an empty queue.
     *
     * @param limits of the store for all controllers together
     * @param sender sends a request immediately and passes on its reply
     */
    CommitQueue(
            EventLoop loop,
            Settings.StoreLimits limits,
            double timeoutSeconds,
            BiConsumer<Request, Consumer<Reply>> sender) {
        this.loop = loop;
        this.timeoutSeconds = timeoutSeconds;
        this.sender = sender;
        commitsPerSecond = limits.requestsPerSecond() * COMMIT_REQUEST_SHARE;
        writesPerSecond = limits.writesPerSecond();
        commitLimit = new TokenBucket(commitsPerSecond, loop.now());
        writeLimit = new TokenBucket(writesPerSecond, loop.now());
    }

    /** Sets the share of the rate limits that applies from now on. */
    void useShare(RateShare newShare) {
        share = newShare;
        applyShare();
    }

    private void applyShare() {
        double current = share.current();
        double now = loop.now();
        commitLimit.setRate(commitsPerSecond * current, commitsPerSecond * BURST_SHARE, now);
        writeLimit.setRate(writesPerSecond * current, writesPerSecond * BURST_SHARE, now);
    }

    /** Number of transactions in both queues. */
    int size() {
        return regularQueue.size() + acceptanceQueue.size();
    }

    /**
     * Seconds that another transaction with this number of writes would wait at the current share.
     */
    double expectedWaitSeconds(int writes) {
        applyShare();
        double forWrites = writeLimit.secondsUntil(queuedWrites + writes, loop.now());
        double forCommits = commitLimit.secondsUntil(size() + 1, loop.now());
        return Math.max(forWrites, forCommits);
    }

    /** Adds a transaction that does not accept new jobs. */
    void addRegular(QueuedCommit commit) {
        enqueue(regularQueue, commit);
    }

    /**
     * Adds a transaction that accepts new jobs. If it is not sent by the given time, it is removed
     * and its reply is {@link Reply#NOT_SENT}.
     *
     * @param sendBy in seconds of the loop's clock
     */
    void addAcceptance(QueuedCommit commit, double sendBy) {
        enqueue(acceptanceQueue, commit);
        if (acceptanceQueue.contains(commit)) {
            loop.after(sendBy - loop.now(), () -> dropUnsent(commit));
        }
    }

    private void dropUnsent(QueuedCommit commit) {
        if (acceptanceQueue.remove(commit)) {
            addQueuedWrites(-commit.writes());
            commit.onReply().accept(Reply.NOT_SENT);
        }
    }

    private void enqueue(ArrayDeque<QueuedCommit> queue, QueuedCommit commit) {
        queue.add(commit);
        addQueuedWrites(commit.writes());
        if (!isDrainScheduled || queue == regularQueue) {
            drain();
        }
    }

    private void addQueuedWrites(int change) {
        queuedWrites += change;
        share.recordQueued(queuedWrites);
    }

    private void drain() {
        while (size() > 0) {
            applyShare();
            ArrayDeque<QueuedCommit> queue = nextQueue();
            double waitSeconds = waitSeconds(queue.peek());
            if (waitSeconds > 0) {
                scheduleDrain(waitSeconds);
                return;
            }
            QueuedCommit next = queue.poll();
            lastServedQueue = queue;
            addQueuedWrites(-next.writes());
            consumeRate(next);
            sender.accept(next.request(), next.onReply());
        }
    }

    private double waitSeconds(QueuedCommit next) {
        double forCommits = commitLimit.waitSeconds(1, loop.now());
        double forWrites = writeLimit.waitSeconds(next.writes(), loop.now());
        return Math.max(forCommits, forWrites);
    }

    private void consumeRate(QueuedCommit commit) {
        commitLimit.take(1, loop.now());
        writeLimit.take(commit.writes(), loop.now());
        share.recordSent(commit.writes());
    }

    /**
     * Alternates between the queues. When {@code regularQueue} always came first, submissions to a
     * leader that committed many placement rounds waited for seconds. Now at most one regular
     * transaction is sent before the next submission; if it is a placement round, it has many more
     * writes than the submission.
     */
    private ArrayDeque<QueuedCommit> nextQueue() {
        if (regularQueue.isEmpty()) {
            return acceptanceQueue;
        }
        boolean regularWasServed = lastServedQueue == regularQueue;
        return regularWasServed && !acceptanceQueue.isEmpty() ? acceptanceQueue : regularQueue;
    }

    private void scheduleDrain(double waitSeconds) {
        if (isDrainScheduled) {
            return;
        }
        isDrainScheduled = true;
        loop.after(
                Math.min(waitSeconds, timeoutSeconds * MAX_WAIT_TIMEOUT_RATIO),
                () -> {
                    isDrainScheduled = false;
                    drain();
                });
    }
}
