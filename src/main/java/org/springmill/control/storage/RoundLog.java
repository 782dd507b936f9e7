package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.StateStore.CommitResult;
import org.springmill.control.storage.StateStore.Outcome;
import org.springmill.protocol.Json;
import org.springmill.protocol.StateMessages.Condition;
import org.springmill.protocol.StateMessages.Entry;
import org.springmill.protocol.StateMessages.Write;
import org.springmill.protocol.TaskId;
import org.springmill.transport.Loop;

/**
 * The rounds in the state service, under {@code round/<number>.<part>}: append-only, strictly
 * rising across leaders.
 *
 * <p>A round holds its claims, the ends of earlier claims and marks of finished tasks, in one
 * transaction that is conditional on the leader's own record, so that one applied late, after
 * another leader took over, fails. Old values are deleted from the oldest on, once later ones carry
 * what is still needed of them; an end therefore never disappears before the claim that it ends.
 * What is needed of one value may be carried by several transactions, before the one that deletes
 * it: read back in order, the last copy of a claim counts. So a value written under larger limits
 * is split by and by, and no transaction grows with what is stored.
 *
 * <p>A transaction without an answer is sent again, unchanged, until its fate is known: its key
 * must not exist, so only one copy is ever applied. The other copy may be carried out at any later
 * time of the term, so that key has to outlast the round's own content: see {@link Append}.
 */
public final class RoundLog {
    private static final Logger LOG = LoggerFactory.getLogger(RoundLog.class);

    static final String PREFIX = "round/";

    /** Room for punctuation around what is counted when a value is filled. */
    private static final double FILL = 0.9;

    /**
     * What one claim takes, roughly, and one end with the mark of its task; bounds how many go into
     * a round.
     */
    private static final int CLAIM_BYTES = 96;

    private static final int END_BYTES = 64;

    /**
     * No round has more claims than this, nor more ends, so that a controller with little processor
     * time keeps up.
     */
    private static final int MOST_ITEMS = 96;

    private static final int MAX_COMMIT_BYTES = 48 * 1024;

    /** A leader reads everything when it takes over: no more values than come in a few pages. */
    private static final int MAX_PARTS = 500;

    private final StateStore store;
    private final Loop loop;
    private final Condition leadership;
    private final Predicate<String> jobActive;
    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private final Map<String, Part> homes = new HashMap<>();
    private long last;
    private boolean closed;

    /** One value as far as it is still needed: a round, or part of one. */
    private static final class Part {
        private final String key;
        private final Map<String, Claim> claims = new LinkedHashMap<>();
        private final Map<String, BitSet> done = new LinkedHashMap<>();

        /** Bytes as written, roughly; what is still needed of them only shrinks. */
        private int bytes;

        /** Whether a copy of its transaction, sent in this term, may still be carried out. */
        private boolean echoing;

        Part(String key) {
            this.key = key;
        }

        void mark(String job, BitSet tasks) {
            done.computeIfAbsent(job, j -> new BitSet()).or(tasks);
        }
    }

    /** The end of a claim; done, or else proven gone. */
    public record End(Claim claim, boolean done) {}

    /** What the rounds say when they are read back. */
    public record Rebuilt(Collection<Claim> live, Map<String, BitSet> done) {}

    public RoundLog(
            StateStore store, Loop loop, Condition leadership, Predicate<String> jobActive) {
        this.store = store;
        this.loop = loop;
        this.leadership = leadership;
        this.jobActive = jobActive;
    }

    /** Number that the next round will have. */
    public long next() {
        return last + 1;
    }

    /** How many ends one round may hold: they have half of it, and claims have what is left. */
    public int endsPerRound() {
        return Math.max(1, Math.min(MOST_ITEMS, roundBytes() / 2 / END_BYTES));
    }

    /** How many claims fit into a round beside so many ends. */
    public int claimsBeside(int ends) {
        return Math.max(1, Math.min(MOST_ITEMS, (roundBytes() - ends * END_BYTES) / CLAIM_BYTES));
    }

    /** Two writes are left for replacing older values. */
    private int roundBytes() {
        int values = Math.max(1, store.limits().writesPerCommit() - 2);
        return (int) Math.min(MAX_COMMIT_BYTES, values * store.limits().valueBytes() * FILL);
    }

    /** How many values are kept. */
    public int kept() {
        return parts.size();
    }

    /** No more transactions are sent, nor answers passed on, once the leadership has ended. */
    public void close() {
        closed = true;
    }

    /**
     * Reads all rounds. Complete once the leadership is held: transactions of earlier leaders can
     * then no longer be applied. Passes null if the state service could not be read.
     */
    public void load(Consumer<Rebuilt> done) {
        store.list(
                PREFIX,
                page -> {
                    if (closed) {
                        return;
                    }
                    if (page == null) {
                        done.accept(null);
                        return;
                    }
                    Map<String, BitSet> marks = new HashMap<>();
                    for (Entry entry : page.entries()) {
                        int dot = entry.key().lastIndexOf('.');
                        long number = Long.parseLong(entry.key(), PREFIX.length(), dot, 10);
                        Part part = new Part(entry.key());
                        part.bytes =
                                entry.value().path("claims").size() * CLAIM_BYTES
                                        + entry.value().path("ended").size() * END_BYTES;
                        parts.add(part);
                        replay(entry.value(), part, number);
                        last = number;
                    }
                    List<Claim> live = new ArrayList<>();
                    for (Part part : parts) {
                        part.done.forEach(
                                (job, set) ->
                                        marks.computeIfAbsent(job, j -> new BitSet()).or(set));
                        live.addAll(part.claims.values());
                    }
                    done.accept(new Rebuilt(live, marks));
                });
    }

    private void replay(JsonNode value, Part part, long round) {
        for (JsonNode c : value.path("claims")) {
            long number = c.size() > 4 ? c.path(4).longValue() : round;
            Claim claim =
                    new Claim(
                            c.path(3).asText(),
                            new TaskId(c.path(0).asText(), c.path(1).asInt()),
                            c.path(2).asText(),
                            number);
            adopt(part, claim);
        }
        for (JsonNode key : value.path("ended")) {
            dropClaim(key.asText());
        }
        for (JsonNode d : value.path("done")) {
            CompletedTasks.decode(
                    d.path(1).asText(),
                    part.done.computeIfAbsent(d.path(0).asText(), j -> new BitSet()));
        }
    }

    private void adopt(Part part, Claim claim) {
        dropClaim(claim.key());
        part.claims.put(claim.key(), claim);
        homes.put(claim.key(), part);
    }

    private void dropClaim(String key) {
        Part home = homes.remove(key);
        if (home != null) {
            home.claims.remove(key);
        }
    }

    /**
     * Commits a round; done is called once it is known to be committed, and never if the leadership
     * has ended.
     *
     * @param lost called instead when the state service shows that the leadership is over
     */
    public void append(List<Claim> claims, List<End> ends, Runnable done, Runnable lost) {
        new Append(claims, ends, last + 1, done, lost).send();
    }

    /** One transaction on its way, until its fate is known. */
    private final class Append {
        private final List<Claim> claims;
        private final List<End> ends;
        private final long number;
        private final Runnable done;
        private final Runnable lost;
        private final Packer packer;
        private final List<Part> replaced;
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /**
         * A larger transaction of the same number went unanswered: it may be the one that was
         * applied.
         */
        private Append larger;

        private boolean uncertain;

        Append(List<Claim> claims, List<End> ends, long number, Runnable done, Runnable lost) {
            this.claims = claims;
            this.ends = ends;
            this.number = number;
            this.done = done;
            this.lost = lost;
            packer = new Packer(number, store.limits().valueBytes());
            claims.forEach(packer::claim);
            Map<String, BitSet> newlyDone = new LinkedHashMap<>();
            Set<String> ending = new HashSet<>();
            for (End end : ends) {
                packer.ended(end.claim().key());
                ending.add(end.claim().key());
                if (end.done()) {
                    newlyDone
                            .computeIfAbsent(end.claim().task().job(), j -> new BitSet())
                            .set(end.claim().task().index());
                }
            }
            newlyDone.forEach(packer::done);
            replaced = compact(packer, ending);
            packer.values.forEach(value -> writes.add(Write.put(value.part.key, value.json)));
            for (Part old : replaced) {
                // A copy that is carried out only now would find its key absent, and raise claims
                // from the dead whose
                // ends are gone. Emptied, the key refuses it; the next term, in which that copy
                // fails, drops it.
                writes.add(
                        old.echoing ? Write.put(old.key, Packer.empty()) : Write.delete(old.key));
            }
            conditions.add(leadership);
            conditions.add(new Condition(firstKey(), 0));
        }

        private String firstKey() {
            return packer.values.get(0).part.key;
        }

        void send() {
            if (closed) {
                return;
            }
            if (writes.size() > store.limits().writesPerCommit()
                    && claims.size() + ends.size() > 1) {
                // A gang larger than a round: its members are claimed together, but not in one
                // transaction.
                split();
                return;
            }
            store.commit(
                    conditions,
                    writes,
                    result -> {
                        if (closed) {
                            return;
                        }
                        switch (result.outcome()) {
                            case COMMITTED -> applied();
                            case REFUSED -> refused(result);
                            case TOO_LARGE -> split();
                            // The same transaction again. It cannot be applied twice.
                            case NOT_NOW, UNKNOWN -> {
                                uncertain |= result.outcome() == Outcome.UNKNOWN;
                                loop.after(retryS(), this::send);
                            }
                        }
                    });
        }

        private void refused(CommitResult result) {
            if (result.failed().isEmpty() && claims.size() + ends.size() > 1) {
                // Something in it is not taken, whatever it is: the rest must not wait for that,
                // nor the term end with it.
                LOG.warn(
                        "round {} is refused by the state service and goes in two halves",
                        firstKey());
                split();
            } else if (result.failed().contains(leadership.key())
                    || !result.failed().contains(firstKey())) {
                if (!result.failed().contains(leadership.key())) {
                    LOG.error("round {} is refused by the state service", firstKey());
                }
                lost.run();
            } else if (larger == null) {
                // The key exists and the leadership held: only this leader writes rounds, so an
                // earlier copy was applied.
                applied();
            } else {
                findOut();
            }
        }

        /** One of several of this number may have been applied: what stands there tells which. */
        private void findOut() {
            store.get(
                    firstKey(),
                    read -> {
                        if (closed) {
                            return;
                        }
                        if (read.entry() == null) {
                            loop.after(retryS(), this::send);
                            return;
                        }
                        for (Append sent = this; sent != null; sent = sent.larger) {
                            if (items(read.entry().value())
                                    .equals(items(sent.packer.values.get(0).json))) {
                                sent.uncertain |= uncertain;
                                sent.applied();
                                return;
                            }
                        }
                        LOG.error("round {} holds what was never sent", firstKey());
                        lost.run();
                    });
        }

        private static List<String> items(JsonNode value) {
            List<String> keys = new ArrayList<>();
            value.path("claims").forEach(claim -> keys.add(claim.path(3).asText()));
            value.path("ended").forEach(key -> keys.add(key.asText()));
            return keys;
        }

        /**
         * The service takes less than its settings said. The round goes in two halves, the second
         * under the next number but with its claims' own; smaller limits are kept to from now on,
         * so the last halves are as small as can be.
         */
        private void split() {
            int claimsHalf = (claims.size() + 1) / 2;
            int endsHalf = ends.size() / 2;
            boolean more = claims.size() + ends.size() > 1;
            Append first =
                    new Append(
                            more ? claims.subList(0, claimsHalf) : claims,
                            more ? ends.subList(0, endsHalf) : ends,
                            number,
                            more ? () -> secondHalf(claimsHalf, endsHalf) : done,
                            lost);
            first.larger = uncertain ? this : larger;
            first.send();
        }

        private void secondHalf(int claimsFrom, int endsFrom) {
            new Append(
                            claims.subList(claimsFrom, claims.size()),
                            ends.subList(endsFrom, ends.size()),
                            last + 1,
                            done,
                            lost)
                    .send();
        }

        private void applied() {
            last = number;
            for (Append sent = this; sent != null; sent = sent.larger) {
                packer.values.get(0).part.echoing |= sent.uncertain;
            }
            for (Packer.Value value : packer.values) {
                parts.add(value.part);
                value.claims.forEach(claim -> adopt(value.part, claim));
            }
            parts.removeAll(replaced);
            packer.carriedDone.forEach((job, old) -> old.done.remove(job));
            ends.forEach(end -> dropClaim(end.claim().key()));
            done.run();
        }
    }

    private int storedBytes() {
        return parts.stream().mapToInt(part -> part.bytes).sum();
    }

    private int neededBytes() {
        return parts.stream().mapToInt(part -> part.claims.size() * CLAIM_BYTES).sum();
    }

    /**
     * Carries what is needed of the oldest values into the packer, as far as the transaction has
     * room, and returns those that may be deleted with it. A claim that this same round ends is
     * left out: carried in a later part than its end, it would live again.
     */
    private List<Part> compact(Packer packer, Set<String> ending) {
        int most = store.limits().writesPerCommit();
        // Carrying costs writes: it waits until half of what is stored is no longer needed, so that
        // what is carried
        // stays in proportion to what is new. A fleet's worth of long-lived claims was rewritten
        // every few rounds.
        boolean few = parts.size() < 2 * most;
        if (few || (parts.size() < MAX_PARTS && storedBytes() < 2 * neededBytes())) {
            return List.of();
        }
        List<Part> replaced = new ArrayList<>();
        int until = packer.total + store.limits().valueBytes();
        for (Part old : parts) {
            boolean whole =
                    packer.values.size() + replaced.size() < most
                            && carry(old, packer, ending, most - replaced.size() - 1, until);
            if (!whole) {
                break;
            }
            replaced.add(old);
        }
        return replaced;
    }

    /** False if not all that is needed has room in so many values and so many bytes in all. */
    private boolean carry(Part old, Packer into, Set<String> ending, int mostValues, int until) {
        for (Claim claim : old.claims.values()) {
            if (!ending.contains(claim.key())) {
                if (!into.hasRoom(List.of(Packer.bytes(claim)), mostValues, until)) {
                    return false;
                }
                into.claim(claim);
            }
        }
        for (Map.Entry<String, BitSet> marks : old.done.entrySet()) {
            if (jobActive.test(marks.getKey())) {
                if (!into.hasRoom(
                        into.bytes(marks.getKey(), marks.getValue()), mostValues, until)) {
                    return false;
                }
                into.done(marks.getKey(), marks.getValue());
                into.carriedDone.put(marks.getKey(), old);
            }
        }
        return true;
    }

    private double retryS() {
        return 2 / store.limits().writesPerS();
    }

    /** Fills values with the parts of a round, each up to its limit. */
    private static final class Packer {
        private final List<Value> values = new ArrayList<>();
        private final Map<String, Part> carriedDone = new HashMap<>();
        private final long number;
        private final int limit;
        private int total;

        /** One value, and what it means. */
        private static final class Value {
            private final ObjectNode json = empty();
            private final List<Claim> claims = new ArrayList<>();
            private final Part part;

            Value(String key) {
                part = new Part(key);
            }
        }

        Packer(long number, int valueBytes) {
            this.number = number;
            limit = (int) (valueBytes * FILL);
            open();
        }

        static ObjectNode empty() {
            return Json.newObject().put("v", 1);
        }

        private void open() {
            values.add(new Value(String.format("%s%015d.%02d", PREFIX, number, values.size())));
        }

        private Value current() {
            return values.get(values.size() - 1);
        }

        private static int bytes(Claim claim) {
            return claim.task().job().length()
                    + claim.machine().length()
                    + claim.key().length()
                    + 44;
        }

        private static int bytes(String job, String piece) {
            return job.length() + piece.length() + 7;
        }

        List<Integer> bytes(String job, BitSet set) {
            return pieces(set).stream().map(piece -> bytes(job, piece)).toList();
        }

        private List<String> pieces(BitSet set) {
            return CompletedTasks.encode(set, limit / 2);
        }

        /**
         * Whether items of these sizes fit into so many values and, with all that is there, so many
         * bytes.
         */
        boolean hasRoom(List<Integer> sizes, int mostValues, int until) {
            int count = values.size();
            int left = limit - current().part.bytes;
            int sum = 0;
            for (int bytes : sizes) {
                if (bytes > left) {
                    count++;
                    left = limit;
                }
                left -= bytes;
                sum += bytes;
            }
            return count <= mostValues && total + sum <= until;
        }

        void claim(Claim claim) {
            ArrayNode array = array("claims", bytes(claim)).addArray();
            array.add(claim.task().job())
                    .add(claim.task().index())
                    .add(claim.machine())
                    .add(claim.key());
            if (claim.round() != number) {
                array.add(claim.round());
            }
            current().claims.add(claim);
        }

        void ended(String key) {
            array("ended", key.length() + 3).add(key);
        }

        void done(String job, BitSet set) {
            for (String piece : pieces(set)) {
                array("done", bytes(job, piece)).addArray().add(job).add(piece);
                BitSet tasks = new BitSet();
                CompletedTasks.decode(piece, tasks);
                current().part.mark(job, tasks);
            }
        }

        private ArrayNode array(String field, int bytes) {
            if (current().part.bytes + bytes > limit) {
                open();
            }
            current().part.bytes += bytes;
            total += bytes;
            return current().json.withArray(field);
        }
    }
}
