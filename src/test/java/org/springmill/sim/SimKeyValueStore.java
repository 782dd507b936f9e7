package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.emulator.EmulatedKeyValueStore;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * The emulated key-value store under the virtual clock. Tests can have transactions applied late.
 */
public final class SimKeyValueStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final RefusalRule NONE_REFUSED = (from, request) -> false;
    private static final int REFUSED = 503;
    private static final double MIN_COMMIT_DELAY_SECONDS = 2;
    private static final double COMMIT_DELAY_RANGE_SECONDS = 10;

    private final VirtualClock clock;
    private final EmulatedKeyValueStore store;
    private SplittableRandom random;
    private double delayedCommitShare;
    private RefusalRule refusalRule = NONE_REFUSED;
    private Consumer<JsonNode> onCommit = transaction -> {};
    private final List<Request> committed = new ArrayList<>();

    SimKeyValueStore(VirtualClock clock, int valueBytes, int writesPerCommit) {
        this.clock = clock;
        store = new EmulatedKeyValueStore(clock, valueBytes, writesPerCommit);
    }

    void random(SplittableRandom source) {
        random = source;
    }

    /** Starts the expiry of leases. */
    void start() {
        store.start();
    }

    /** Changes the size limits without notice to the controllers. Stored records stay. */
    public void setSizeLimits(int bytes, int writes) {
        store.setSizeLimits(bytes, writes);
    }

    /**
     * Sets the maximum number of entries of a page, as it is for entries that have many bytes, so
     * that listings of a few records have several pages.
     */
    public void setMaxPageEntries(int entries) {
        store.setMaxPageEntries(entries);
    }

    /** The number of transactions rejected for their size. */
    public int oversizedCommits() {
        return store.rejectedForSize();
    }

    /** Starts or ends an outage. At its end every lease gets its full duration again. */
    public void setDown(boolean down) {
        store.setDown(down);
    }

    /**
     * Drops the recorded changes, so that clients that ask for them have to read the keys again.
     */
    public void dropWatchHistory() {
        store.compactChanges();
    }

    /**
     * Answers all requests of one controller with 503 while the others are served, so that its
     * leases expire; or ends that.
     */
    public void refuseController(int controller, boolean refused) {
        store.setRefused(SimSettings.controllerName(controller), refused);
    }

    /**
     * Delays a random share of the transactions: they get no response and are applied 2 to 12 s
     * later, after newer ones.
     */
    public void delayCommits(double share) {
        delayedCommitShare = share;
    }

    /** Decides which requests get 503 while the others of the same controller are served. */
    public interface RefusalRule {
        boolean refuses(String from, Request request);
    }

    /** From now on single requests are refused by a rule. */
    public void refuseRequests(RefusalRule rule) {
        refusalRule = rule;
    }

    /** Refuses a random share of all requests. */
    public void refuseRequests(double share) {
        refuseRequests((from, request) -> random.nextDouble() < share);
    }

    /**
     * Serves so many pages of the job records to a controller from now on, and refuses all that
     * follow until another rule is set.
     */
    public void refuseJobPagesAfter(int controller, int pagesServed) {
        String name = SimSettings.controllerName(controller);
        int[] served = new int[1];
        refuseRequests(
                (from, request) ->
                        from.equals(name)
                                && request.path().startsWith("/store?under=job/")
                                && ++served[0] > pagesServed);
    }

    /** Refuses no single requests any more. */
    public void serveRequests() {
        refusalRule = NONE_REFUSED;
    }

    void endFailures() {
        delayedCommitShare = 0;
        refusalRule = NONE_REFUSED;
        store.serveAll();
    }

    /** The stored value of a key; null if it is absent. */
    public JsonNode value(String key) {
        return store.value(key);
    }

    /** The stored keys with that prefix. */
    public List<String> keysUnder(String prefix) {
        return store.keysUnder(prefix);
    }

    void handle(String from, Request request, Consumer<Reply> done) {
        if (refusalRule.refuses(from, request)) {
            done.accept(reply(REFUSED, JSON.createObjectNode().put("error", "trouble")));
            return;
        }
        boolean delayed =
                request.path().equals("/commit")
                        && delayedCommitShare > 0
                        && !store.down()
                        && random.nextDouble() < delayedCommitShare;
        if (delayed) {
            commitLater(
                    request,
                    MIN_COMMIT_DELAY_SECONDS + random.nextDouble() * COMMIT_DELAY_RANGE_SECONDS);
        } else {
            apply(from, request, done);
        }
    }

    private void apply(String from, Request request, Consumer<Reply> done) {
        store.handle(
                from,
                request.method(),
                request.path(),
                request.body(),
                reply -> {
                    if (request.path().equals("/commit") && reply.ok()) {
                        committed.add(request);
                        onCommit.accept(parse(request.body()));
                    }
                    done.accept(reply);
                });
    }

    /** The requests of all transactions that were committed, oldest first. */
    public List<Request> committedTransactions() {
        return List.copyOf(committed);
    }

    /**
     * Delivers a late copy of a transaction that was committed before.
     *
     * @return whether the copy was committed too
     */
    public boolean commitAgain(Request transaction) {
        int before = committed.size();
        apply("", transaction, reply -> {});
        return committed.size() > before;
    }

    /** Sets a listener that is called with each transaction when it is committed. */
    void onCommit(Consumer<JsonNode> listener) {
        onCommit = listener;
    }

    private void commitLater(Request request, double delaySeconds) {
        clock.after(
                delaySeconds,
                () -> {
                    if (store.down()) {
                        commitLater(request, 1);
                    } else {
                        apply("", request, reply -> {});
                    }
                });
    }

    static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(
                    "invalid JSON in a body of " + body.length + " bytes", e);
        }
    }

    static Reply reply(int status, JsonNode body) {
        return new Reply(status, body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
}
