package org.springmill.control.storage;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * The rounds in the key-value store, under {@code round/<number>.<part>}: append-only, with numbers
 * that strictly rise across leaders.
 *
 * <p>A round holds its claims, the ends of earlier claims and completed tasks, in one transaction
 * that is conditional on the leader's own record, so that one applied late, after another leader
 * took over, fails. Old values are deleted from the oldest on, once later ones carry what is still
 * needed of them; an end therefore never disappears before the claim that it ends. What is needed
 * of one value may be carried by several transactions, before the one that deletes it: read back in
 * order, the last copy of a claim counts. So a value written under larger limits is split by and
 * by, and no transaction grows with what is stored.
 *
 * <p>{@link RoundCodec} has the stored form, {@link RoundIndex} what is stored, {@link RoundWriter}
 * the transactions and {@link RoundCompactor} what is carried forward.
 */
public final class RoundLog {
    /**
     * A round of a controller with half a core or less has at most so many claims and ends, so that
     * it keeps up. With more of a core it has more: where the key-value store is far away, rounds a
     * second are few.
     */
    private static final int MIN_ITEMS_PER_ROUND = 96;

    private static final double ITEMS_PER_ROUND_AND_CORE = 192;

    /** Well below the 64 KiB of a transaction, of which conditions and deletions need some. */
    private static final int MAX_COMMIT_BYTES = 48 * 1024;

    /** The same together with what is reserved for other records, of which no part is deletions. */
    private static final int MAX_BYTES_WITH_RESERVE = 54 * 1024;

    /** Writes of a transaction that are left for replacing older values. */
    private static final int WRITES_FOR_COMPACTION = 2;

    private final KeyValueStoreClient store;
    private final RoundIndex index = new RoundIndex();
    private final RoundWriter writer;
    private final int maxItemsPerRound;
    private final Reserve reserve;

    /** What is left of each transaction for changes of other records. */
    public record Reserve(int writes, int bytes) {
        /** Nothing. */
        public static final Reserve NONE = new Reserve(0, 0);
    }

    /** The end of a claim; done, or else proven gone. */
    public record End(Claim claim, boolean done) {}

    /**
     * What the rounds hold when they are read back.
     *
     * @param live claims that have not ended
     * @param done completed tasks by job
     */
    public record Rebuilt(Collection<Claim> live, Map<String, BitSet> done) {}

    /**
     * @param leadership the condition that holds as long as this controller leads
     * @param jobActive whether a job has not ended, so that its completed tasks are still needed
     * @param cpuShare what this controller may use of one core
     * @param reserve what is left of each transaction for changes of other records
     */
    public RoundLog(
            KeyValueStoreClient store,
            EventLoop loop,
            Condition leadership,
            Predicate<String> jobActive,
            double cpuShare,
            Reserve reserve) {
        this.store = store;
        this.reserve = reserve;
        int byProcessor = (int) (ITEMS_PER_ROUND_AND_CORE * cpuShare);
        maxItemsPerRound = Math.max(MIN_ITEMS_PER_ROUND, byProcessor);
        RoundCompactor compactor = new RoundCompactor(store, index, jobActive);
        writer = new RoundWriter(store, loop, leadership, index, compactor);
    }

    /** Number that the next round will have. */
    public long next() {
        return index.lastNumber() + 1;
    }

    /** How many ends one round may hold: they have half of it, and claims have what is left. */
    public int endsPerRound() {
        return itemsIn(roundBytes() / 2, StoredRound.ESTIMATED_END_BYTES);
    }

    /** How many claims fit into a round beside so many ends. */
    public int claimsBeside(int ends) {
        int bytesLeft = roundBytes() - ends * StoredRound.ESTIMATED_END_BYTES;
        return itemsIn(bytesLeft, StoredRound.ESTIMATED_CLAIM_BYTES);
    }

    private int itemsIn(int bytes, int itemBytes) {
        return Math.max(1, Math.min(maxItemsPerRound, bytes / itemBytes));
    }

    private int roundBytes() {
        Settings.StoreLimits limits = store.limits();
        int values =
                Math.max(1, limits.writesPerCommit() - WRITES_FOR_COMPACTION - reserve.writes());
        double fillableBytes = values * limits.valueBytes() * RoundCodec.FILL_RATIO;
        int commitBytes = Math.min(MAX_COMMIT_BYTES, MAX_BYTES_WITH_RESERVE - reserve.bytes());
        return (int) Math.min(commitBytes, fillableBytes);
    }

    /** How many values are stored. */
    public int kept() {
        return index.size();
    }

    /** No more transactions are sent, nor answers passed on, once the leadership has ended. */
    public void close() {
        writer.close();
    }

    /**
     * Reads all rounds. Complete once the leadership is held: transactions of earlier leaders can
     * then no longer be applied.
     *
     * @param done takes null if the key-value store could not be read
     */
    public void load(Consumer<Rebuilt> done) {
        store.list(RoundCodec.PREFIX, page -> loaded(page, done));
    }

    private void loaded(Page page, Consumer<Rebuilt> done) {
        if (writer.closed()) {
            return;
        }
        if (page == null) {
            done.accept(null);
            return;
        }
        for (Entry entry : page.entries()) {
            index.replay(entry);
        }
        done.accept(index.rebuilt());
    }

    /**
     * Commits a round.
     *
     * @param attached changes of other records that are part of the round's transaction
     * @param done called once the round is known to be committed, and never if the leadership has
     *     ended
     * @param lost called instead when the key-value store shows that the leadership is over
     */
    public void append(
            List<Claim> claims,
            List<End> ends,
            List<Write> attached,
            Runnable done,
            Runnable lost) {
        writer.append(claims, ends, attached, done, lost);
    }
}
