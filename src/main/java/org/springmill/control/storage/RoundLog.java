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
 * The rounds in the state service, under {@code round/<number>.<part>}: append-only, strictly rising across leaders.
 *
 * <p>A round holds its claims, the ends of earlier claims and marks of finished tasks, in one transaction that is
 * conditional on the leader's own record, so that one applied late, after another leader took over, fails. Old rounds
 * are deleted from the oldest on, in transactions whose own round carries what is still needed of them; an end
 * therefore never disappears before the claim that it ends.
 *
 * <p>A transaction without an answer is sent again, unchanged, until its fate is known: its key must not exist, so
 * only one copy is ever applied. The other copy may be carried out at any later time of the term, so that key has to
 * outlast the round's own content: see {@link #compact}.
 */
public final class RoundLog {
    private static final Logger LOG = LoggerFactory.getLogger(RoundLog.class);

    static final String PREFIX = "round/";
    /** Room for punctuation around what is counted when a value is filled. */
    private static final double FILL = 0.9;
    /** What one claim or end takes at most, roughly; bounds how many go into a round. */
    private static final int ITEM_BYTES = 128;
    private static final int MAX_COMMIT_BYTES = 48 * 1024;
    /** A leader reads all rounds when it takes over: no more of them than come in a few pages. */
    private static final int MAX_ROUNDS = 500;

    private final StateStore store;
    private final Loop loop;
    private final Condition leadership;
    private final Predicate<String> jobActive;
    private final ArrayDeque<Round> rounds = new ArrayDeque<>();
    private final Map<String, Round> homes = new HashMap<>();
    private long last;
    private boolean closed;

    /** One round as far as it is still needed. */
    private static final class Round {
        private final long number;
        private final List<String> keys = new ArrayList<>();
        private final Map<String, Claim> claims = new LinkedHashMap<>();
        private final Map<String, BitSet> done = new LinkedHashMap<>();
        /** Bytes as written; what is still needed of them only shrinks. */
        private int bytes;
        /** Whether a copy of its transaction, sent in this term, may still be carried out. */
        private boolean echoing;

        Round(long number) {
            this.number = number;
        }
    }

    /** The end of a claim; done, or else proven gone. */
    public record End(Claim claim, boolean done) {
    }

    /** What the rounds say when they are read back. */
    public record Rebuilt(Collection<Claim> live, Map<String, BitSet> done) {
    }

    public RoundLog(StateStore store, Loop loop, Condition leadership, Predicate<String> jobActive) {
        this.store = store;
        this.loop = loop;
        this.leadership = leadership;
        this.jobActive = jobActive;
    }

    /** Number that the next round will have. */
    public long next() {
        return last + 1;
    }

    /** How many claims and ends one round may hold. */
    public int capacity() {
        // Half for claims, half for ends. Where values are small, as many as one transaction may write.
        int values = Math.max(1, store.limits().writesPerCommit() - 2);
        return (int) Math.min(MAX_COMMIT_BYTES, values * store.limits().valueBytes() * FILL) / 2 / ITEM_BYTES;
    }

    public int rounds() {
        return rounds.size();
    }

    /** No more transactions are sent, nor answers passed on, once the leadership has ended. */
    public void close() {
        closed = true;
    }

    /**
     * Reads all rounds. Complete once the leadership is held: transactions of earlier leaders can then no longer be
     * applied. Passes null if the state service could not be read.
     */
    public void load(Consumer<Rebuilt> done) {
        store.list(PREFIX, page -> {
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
                if (rounds.isEmpty() || rounds.getLast().number != number) {
                    rounds.add(new Round(number));
                }
                Round round = rounds.getLast();
                round.keys.add(entry.key());
                round.bytes += (entry.value().path("claims").size() + entry.value().path("ended").size()) * ITEM_BYTES;
                replay(entry.value(), round);
                last = number;
            }
            for (Round round : rounds) {
                round.done.forEach((job, set) -> marks.computeIfAbsent(job, j -> new BitSet()).or(set));
            }
            List<Claim> live = new ArrayList<>();
            for (Round round : rounds) {
                live.addAll(round.claims.values());
            }
            done.accept(new Rebuilt(live, marks));
        });
    }

    private void replay(JsonNode value, Round round) {
        for (JsonNode c : value.path("claims")) {
            long number = c.size() > 4 ? c.path(4).longValue() : round.number;
            Claim claim = new Claim(c.path(3).asText(), new TaskId(c.path(0).asText(), c.path(1).asInt()),
                    c.path(2).asText(), number);
            adopt(round, claim);
        }
        for (JsonNode key : value.path("ended")) {
            dropClaim(key.asText());
        }
        for (JsonNode d : value.path("done")) {
            DoneMarks.decode(d.path(1).asText(), round.done.computeIfAbsent(d.path(0).asText(), j -> new BitSet()));
        }
    }

    private void adopt(Round round, Claim claim) {
        dropClaim(claim.key());
        round.claims.put(claim.key(), claim);
        homes.put(claim.key(), round);
    }

    private void dropClaim(String key) {
        Round home = homes.remove(key);
        if (home != null) {
            home.claims.remove(key);
        }
    }

    /**
     * Commits a round; done is called once it is known to be committed, and never if the leadership has ended.
     *
     * @param lost called instead when the state service shows that the leadership is over
     */
    public void append(List<Claim> claims, List<End> ends, Runnable done, Runnable lost) {
        Round round = new Round(last + 1);
        Packer packer = new Packer(store.limits().valueBytes());
        for (Claim claim : claims) {
            packer.claim(claim, round.number);
        }
        Map<String, BitSet> newlyDone = new LinkedHashMap<>();
        for (End end : ends) {
            packer.ended(end.claim().key());
            if (end.done()) {
                newlyDone.computeIfAbsent(end.claim().task().job(), j -> new BitSet()).set(end.claim().task().index());
            }
        }
        newlyDone.forEach(packer::done);
        Set<String> ending = new HashSet<>();
        ends.forEach(end -> ending.add(end.claim().key()));
        List<Round> replaced = compact(packer, round.number, ending);
        round.bytes = packer.total;

        List<Condition> conditions = new ArrayList<>();
        conditions.add(leadership);
        List<Write> writes = new ArrayList<>();
        for (int part = 0; part < packer.values.size(); part++) {
            String key = String.format("%s%015d.%02d", PREFIX, round.number, part);
            round.keys.add(key);
            writes.add(Write.put(key, packer.values.get(part)));
        }
        conditions.add(new Condition(round.keys.get(0), 0));
        for (Round old : replaced) {
            old.keys.forEach(key -> writes.add(Write.delete(key)));
            if (old.echoing) {
                // A copy that is carried out only now would find its key absent, and raise claims from the dead whose
                // ends are gone. Emptied, the key refuses it; the next term, in which that copy fails, drops it.
                writes.set(writes.size() - old.keys.size(), Write.put(old.keys.get(0), Packer.empty()));
            }
        }
        commit(conditions, writes, round, () -> {
            last = round.number;
            rounds.add(round);
            claims.forEach(claim -> adopt(round, claim));
            newlyDone.forEach((job, set) -> round.done.computeIfAbsent(job, j -> new BitSet()).or(set));
            for (Round old : replaced) {
                rounds.remove(old);
                new ArrayList<>(old.claims.values()).forEach(claim -> adopt(round, claim));
                old.done.forEach((job, set) -> {
                    if (jobActive.test(job)) {
                        round.done.computeIfAbsent(job, j -> new BitSet()).or(set);
                    }
                });
            }
            ends.forEach(end -> dropClaim(end.claim().key()));
            done.run();
        }, lost);
    }

    private int storedBytes() {
        return rounds.stream().mapToInt(round -> round.bytes).sum();
    }

    private int neededBytes() {
        return rounds.stream().mapToInt(round -> round.claims.size() * ITEM_BYTES).sum();
    }

    /** Carries what is needed of the oldest rounds into the packer and returns those that may then be deleted. */
    private List<Round> compact(Packer packer, long number, Set<String> ending) {
        int allowed = store.limits().writesPerCommit() - packer.values.size() - 2;
        // Carrying costs writes: it waits until half of what is stored is no longer needed, so that what is carried
        // stays in proportion to what is new. A fleet's worth of long-lived claims was rewritten every few rounds.
        boolean few = rounds.size() < 2 * store.limits().writesPerCommit();
        if (few || rounds.size() < MAX_ROUNDS && storedBytes() < 2 * neededBytes()) {
            return List.of();
        }
        List<Round> replaced = new ArrayList<>();
        int budget = store.limits().valueBytes();
        int deletes = 0;
        for (Round old : rounds) {
            Packer probe = new Packer(store.limits().valueBytes());
            carry(old, probe, number, ending);
            deletes += old.keys.size();
            budget -= probe.total;
            if (deletes > allowed || budget < 0 && !replaced.isEmpty()) {
                break;
            }
            carry(old, packer, number, ending);
            replaced.add(old);
        }
        return replaced;
    }

    /** A claim that this same round ends is left out: carried in a later part than its end, it would live again. */
    private void carry(Round old, Packer into, long number, Set<String> ending) {
        for (Claim claim : old.claims.values()) {
            if (!ending.contains(claim.key())) {
                into.claim(claim, number);
            }
        }
        old.done.forEach((job, set) -> {
            if (jobActive.test(job)) {
                into.done(job, set);
            }
        });
    }

    private void commit(List<Condition> conditions, List<Write> writes, Round round, Runnable done, Runnable lost) {
        if (closed) {
            return;
        }
        store.commit(conditions, writes, result -> {
            if (closed) {
                return;
            }
            if (result.outcome() == Outcome.COMMITTED) {
                done.run();
            } else if (result.outcome() == Outcome.REFUSED) {
                refused(result, round.keys.get(0), done, lost);
            } else {
                round.echoing |= result.outcome() == Outcome.UNKNOWN;
                // Unknown, or not now: the same transaction again. It cannot be applied twice.
                loop.after(retryS(), () -> commit(conditions, writes, round, done, lost));
            }
        });
    }

    private void refused(CommitResult result, String firstKey, Runnable done, Runnable lost) {
        if (result.failed().contains(leadership.key()) || !result.failed().contains(firstKey)) {
            if (!result.failed().contains(leadership.key())) {
                LOG.error("round {} is refused by the state service", firstKey);
            }
            lost.run();
        } else {
            // The key exists and the leadership held: only this leader writes rounds, so an earlier copy was applied.
            done.run();
        }
    }

    private double retryS() {
        return 2 / store.limits().writesPerS();
    }

    /** Fills values with the parts of a round, each up to its limit. */
    private static final class Packer {
        private final List<ObjectNode> values = new ArrayList<>();
        private final int limit;
        private int size;
        private int total;

        Packer(int valueBytes) {
            limit = (int) (valueBytes * FILL);
            open();
        }

        static ObjectNode empty() {
            return Json.newObject().put("v", 1);
        }

        private void open() {
            values.add(empty());
            size = 0;
        }

        void claim(Claim claim, long number) {
            ArrayNode array = array("claims", claim.task().job().length() + claim.machine().length()
                    + claim.key().length() + 44).addArray();
            array.add(claim.task().job()).add(claim.task().index()).add(claim.machine()).add(claim.key());
            if (claim.round() != number) {
                array.add(claim.round());
            }
        }

        void ended(String key) {
            array("ended", key.length() + 3).add(key);
        }

        void done(String job, BitSet set) {
            for (String piece : DoneMarks.encode(set)) {
                array("done", job.length() + piece.length() + 7).addArray().add(job).add(piece);
            }
        }

        private ArrayNode array(String field, int bytes) {
            if (size + bytes > limit) {
                open();
            }
            size += bytes;
            total += bytes;
            return values.get(values.size() - 1).withArray(field);
        }
    }
}
