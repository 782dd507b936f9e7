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
 * The append-only log of placement rounds in the key-value store, under {@code
 * round/<number>.<part>}. Numbers strictly rise across leaders.
 *
 * <p>A round holds its claims, the ends of earlier claims and completed tasks. It is written in one
 * transaction whose condition is the leader's own record, so a copy that is applied late, after a
 * failover, fails.
 *
 * <p>Compaction deletes old values from the oldest on, once later values carry what is still needed
 * of them; an end therefore never disappears before the claim that it ends. Several transactions
 * may carry parts of one value before the last of them deletes it, and on recovery the last copy of
 * a claim counts. So a value written under larger limits is split step by step, and no transaction
 * grows with what is stored.
 *
 * <p>{@link RoundCodec} has the stored form, {@link RoundIndex} what is stored, {@link RoundWriter}
 * the transactions and {@link RoundCompactor} the compaction.
 */
public final class RoundLog {
    /**
     * Claims and ends that a round may have on any controller; one with half a core or less keeps
     * up with no more. With more of a core a round may have more, since a distant key-value store
     * allows few rounds in a second.
     */
    private static final int MIN_ITEMS_PER_ROUND = 96;

    private static final double ITEMS_PER_ROUND_AND_CORE = 192;

    /** Well below the 64 KiB of a transaction, of which conditions and deletions need some. */
    private static final int MAX_COMMIT_BYTES = 48 * 1024;

    /** The same with what is reserved for other records, which have no deletions. */
    private static final int MAX_BYTES_WITH_RESERVE = 54 * 1024;

    /** Writes of a transaction that are left for compaction. */
    private static final int WRITES_FOR_COMPACTION = 2;

    private final KeyValueStoreClient store;
    private final RoundIndex index = new RoundIndex();
    private final RoundWriter writer;
    private final int maxItemsPerRound;
    private final Reserve reserve;

    /** What rounds leave of each transaction for writes of other records. */
    public record Reserve(int writes, int bytes) {
        /** Nothing is left for other records. */
        public static final Reserve NONE = new Reserve(0, 0);
    }

    /**
     * The end of a claim.
     *
     * @param done whether the task completed; if not, its attempt is proven to run no more
     */
    public record ClaimEnd(Claim claim, boolean done) {}

    /**
     * What is recovered from the stored rounds.
     *
     * @param live claims that have not ended
     * @param done completed tasks by job, of jobs that may still be active
     */
    public record RecoveredRounds(Collection<Claim> live, Map<String, BitSet> done) {}

    /**
     * A log that holds nothing until it is loaded.
     *
     * @param termCondition the condition that holds as long as this controller leads
     * @param isJobActive whether a job has not ended, so that its completed tasks are still needed
     * @param cpuShare cores that this controller may use
     * @param reserve what rounds leave of each transaction for writes of other records
     */
    public RoundLog(
            KeyValueStoreClient store,
            EventLoop loop,
            Condition termCondition,
            Predicate<String> isJobActive,
            double cpuShare,
            Reserve reserve) {
        this.store = store;
        this.reserve = reserve;
        int itemsForCpu = (int) (ITEMS_PER_ROUND_AND_CORE * cpuShare);
        maxItemsPerRound = Math.max(MIN_ITEMS_PER_ROUND, itemsForCpu);
        RoundCompactor compactor = new RoundCompactor(store, index, isJobActive);
        writer = new RoundWriter(store, loop, termCondition, index, compactor);
    }

    /** Number of the next round. */
    public long nextNumber() {
        return index.lastNumber() + 1;
    }

    /** Ends that one round may hold: they have half of its bytes, and claims have the rest. */
    public int endsPerRound() {
        return itemsIn(maxRoundBytes() / 2, StoredRound.ESTIMATED_END_BYTES);
    }

    /** Claims that fit into a round beside so many ends. */
    public int claimsBeside(int ends) {
        int bytesLeft = maxRoundBytes() - ends * StoredRound.ESTIMATED_END_BYTES;
        return itemsIn(bytesLeft, StoredRound.ESTIMATED_CLAIM_BYTES);
    }

    private int itemsIn(int bytes, int itemBytes) {
        return Math.max(1, Math.min(maxItemsPerRound, bytes / itemBytes));
    }

    private int maxRoundBytes() {
        Settings.StoreLimits limits = store.limits();
        int values =
                Math.max(1, limits.writesPerCommit() - WRITES_FOR_COMPACTION - reserve.writes());
        double fillableBytes = values * limits.valueBytes() * RoundCodec.FILL_RATIO;
        int commitBytes = Math.min(MAX_COMMIT_BYTES, MAX_BYTES_WITH_RESERVE - reserve.bytes());
        return (int) Math.min(commitBytes, fillableBytes);
    }

    /** Number of stored values. */
    public int storedValueCount() {
        return index.size();
    }

    /**
     * Ends the log with the leader's term: no transaction is sent and no callback made any more.
     */
    public void close() {
        writer.close();
    }

    /**
     * Recovers all rounds. To be called by a leader: transactions of earlier terms can then no
     * longer be applied, so nothing is missed.
     *
     * @param done takes null if the key-value store could not be read
     */
    public void load(Consumer<RecoveredRounds> done) {
        store.list(RoundCodec.PREFIX, page -> pageRead(page, done));
    }

    private void pageRead(Page page, Consumer<RecoveredRounds> done) {
        if (writer.isClosed()) {
            return;
        }
        if (page == null) {
            done.accept(null);
            return;
        }
        for (Entry entry : page.entries()) {
            index.replay(entry);
        }
        done.accept(index.recover());
    }

    /**
     * Commits a round.
     *
     * @param attached writes of other records that are part of the round's transaction
     * @param done called once the round is known to be committed, and never if the leadership has
     *     ended
     * @param lost called instead when the key-value store shows that the term is over
     */
    public void append(
            List<Claim> claims,
            List<ClaimEnd> ends,
            List<Write> attached,
            Runnable done,
            Runnable lost) {
        writer.append(claims, ends, attached, done, lost);
    }
}
