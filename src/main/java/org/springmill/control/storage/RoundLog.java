package org.springmill.control.storage;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * The append-only log of placement rounds in the key-value store, under {@code
 * round/<number>.<part>}. Numbers strictly increase across leaders.
 *
 * <p>A round holds its claims, the ends of earlier claims and completed tasks. It is written in one
 * transaction whose condition is the leader's own record, so a copy that arrives after a failover
 * fails. Each is also conditional on its predecessor, so a copy that arrives earlier fails too.
 *
 * <p>Compaction deletes the oldest values first, once later values hold the content that is still
 * needed. An end is therefore never deleted before the claim that it ends. Several transactions may
 * copy parts of one value before the last of them deletes it; on recovery the last copy of a claim
 * is kept. So a value written under larger limits is split in several steps, and the size of a
 * transaction does not depend on how much is stored.
 *
 * <p>{@link RoundCodec} defines the stored form, {@link RoundIndex} holds the stored values, {@link
 * RoundWriter} sends the transactions and {@link RoundCompactor} does the compaction.
 */
public final class RoundLog {
    /**
     * Claims and ends that a round may have on any controller; a controller with half a core or
     * less cannot process more. With more CPU a round may have more, since a distant key-value
     * store allows only a few rounds per second.
     */
    private static final int MIN_ITEMS_PER_ROUND = 96;

    private static final double ITEMS_PER_ROUND_AND_CORE = 192;

    /**
     * Well below the limit of 64 KiB per transaction, since conditions and deletions need space.
     */
    private static final int MAX_COMMIT_BYTES = 48 * 1024;

    /** Limit for a round and the reserve together; the reserve has no deletions. */
    private static final int MAX_BYTES_WITH_RESERVE = 54 * 1024;

    /** Writes of a transaction that are reserved for compaction. */
    private static final int WRITES_FOR_COMPACTION = 2;

    private final KeyValueStoreClient store;
    private final RoundIndex index = new RoundIndex();
    private final RoundWriter writer;
    private final int maxItemsPerRound;
    private final Reserve reserve;

    /** The part of each transaction that rounds leave free for writes of other records. */
    public record Reserve(int writes, int bytes) {
        /** Nothing is reserved for other records. */
        public static final Reserve NONE = new Reserve(0, 0);
    }

    /**
     * The end of a claim.
     *
     * @param done whether the task completed; if not, its attempt is proven not to run any more
     */
    public record ClaimEnd(Claim claim, boolean done) {}

    /**
     * The content recovered from the stored rounds.
     *
     * @param live claims that have not ended
     * @param done completed tasks by job, of jobs that may still be active
     */
    public record RecoveredRounds(Collection<Claim> live, Map<String, BitSet> done) {}

    /**
     * Creates a log that is empty until it is loaded.
     *
     * @param termCondition the condition that holds as long as this controller leads
     * @param isJobActive whether a job has not ended, so that its completed tasks are still needed
     * @param cpuShare cores that this controller may use
     * @param reserve the part of each transaction that is left free for writes of other records
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

    /** Ends that one round may hold; they get half of its bytes, and claims get the rest. */
    public int endsPerRound() {
        return maxItemsIn(maxRoundBytes() / 2, StoredRound.ESTIMATED_END_BYTES);
    }

    /** Claims that fit into a round together with the given number of ends. */
    public int maxClaimsWith(int ends) {
        int bytesLeft = maxRoundBytes() - ends * StoredRound.ESTIMATED_END_BYTES;
        return maxItemsIn(bytesLeft, StoredRound.ESTIMATED_CLAIM_BYTES);
    }

    private int maxItemsIn(int bytes, int itemBytes) {
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

    /** Closes the log at the end of the leader's term: no more transactions or callbacks follow. */
    public void close() {
        writer.close();
    }

    /**
     * Recovers all rounds. Only for use by a leader: transactions of earlier terms can then no
     * longer be applied, so no round is missed. May be repeated until the first round is committed;
     * the last complete attempt counts.
     *
     * @param done receives null if the key-value store could not be read
     */
    public void load(Consumer<RecoveredRounds> done) {
        RoundLogReading.start(store, loaded -> loaded(loaded, done));
    }

    private void loaded(Optional<RoundIndex> loaded, Consumer<RecoveredRounds> done) {
        if (writer.isClosed()) {
            return;
        }
        loaded.ifPresent(index::replaceBy);
        done.accept(loaded.isPresent() ? index.recover() : null);
    }

    /**
     * Commits a round.
     *
     * @param attached writes of other records that are part of the round's transaction
     * @param onCommitted called once the round is known to be committed, and never if the
     *     leadership has ended
     * @param onLeadershipLost called instead when the key-value store shows that the term is over
     */
    public void append(
            List<Claim> claims,
            List<ClaimEnd> ends,
            List<Write> attached,
            Runnable onCommitted,
            Runnable onLeadershipLost) {
        writer.append(claims, ends, attached, onCommitted, onLeadershipLost);
    }
}
