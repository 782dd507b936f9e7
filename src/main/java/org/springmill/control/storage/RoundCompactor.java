package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Compaction of the round log: copies the content of the oldest values that is still needed into a
 * new round, so that the round's transaction can delete those values.
 */
final class RoundCompactor {
    /** A new leader reads all values at failover; this number takes only a few pages. */
    private static final int STORED_VALUES_ALWAYS_ALLOWED = 500;

    /**
     * A large fleet may store this multiple of the values that its needed content would fill, since
     * frequent rounds fill only small parts of their values. With a fixed limit, every round of a
     * large fleet copied content that was all still needed.
     */
    private static final double MAX_STORED_TO_NEEDED_VALUES = 2;

    /**
     * With fewer stored values than this multiple of a transaction's writes, nothing is compacted.
     */
    private static final int MIN_VALUES_RATIO = 2;

    /**
     * Below the maximum number of stored values, compaction waits until at least half of the stored
     * bytes are no longer needed. This limits the bytes copied in relation to the bytes of new
     * content. Without it, all long-lived claims of a fleet were rewritten every few rounds.
     */
    private static final int MIN_STORED_TO_NEEDED_RATIO = 2;

    private final KeyValueStoreClient store;
    private final RoundIndex index;
    private final Predicate<String> isJobActive;

    /**
     * Creates a compactor for the values of an index.
     *
     * @param isJobActive whether a job has not ended, so that its completed tasks are still needed
     */
    RoundCompactor(KeyValueStoreClient store, RoundIndex index, Predicate<String> isJobActive) {
        this.store = store;
        this.index = index;
        this.isJobActive = isJobActive;
    }

    /**
     * Copies as much needed content as fits into the transaction, and returns the values that the
     * transaction may delete.
     *
     * @param ending keys of claims that this round ends. They are not copied: a copy in a part of
     *     the round after the end would make the claim live again.
     * @param otherWrites number of writes in the transaction besides those of the round
     */
    List<StoredRound> compact(RoundEncoder encoder, Set<String> ending, int otherWrites) {
        if (!isWorthwhile()) {
            return List.of();
        }
        int maxWrites = store.limits().writesPerCommit() - otherWrites;
        int maxTotalBytes = encoder.totalBytes() + store.limits().valueBytes();
        List<StoredRound> replaced = new ArrayList<>();
        for (StoredRound old : index.values()) {
            if (encoder.values().size() + replaced.size() >= maxWrites) {
                break;
            }
            int maxValues = maxWrites - replaced.size() - 1;
            if (!carryForward(old, encoder, ending, maxValues, maxTotalBytes)) {
                break;
            }
            replaced.add(old);
        }
        return replaced;
    }

    private boolean isWorthwhile() {
        if (index.size() < MIN_VALUES_RATIO * store.limits().writesPerCommit()) {
            return false;
        }
        if (index.size() >= maxStoredValues()) {
            return true;
        }
        return index.storedBytes() >= MIN_STORED_TO_NEEDED_RATIO * index.neededBytes();
    }

    private double maxStoredValues() {
        double valueBytes = store.limits().valueBytes() * RoundCodec.FILL_RATIO;
        double neededValues = index.neededBytes() / valueBytes;
        return Math.max(STORED_VALUES_ALWAYS_ALLOWED, MAX_STORED_TO_NEEDED_VALUES * neededValues);
    }

    /** Returns false if not all needed content fits. What was copied before stays in the round. */
    private boolean carryForward(
            StoredRound old,
            RoundEncoder encoder,
            Set<String> ending,
            int maxValues,
            int maxTotalBytes) {
        for (Claim claim : old.claims().values()) {
            if (ending.contains(claim.key())) {
                continue;
            }
            List<Integer> itemBytes = List.of(RoundCodec.bytes(claim));
            if (!encoder.fits(itemBytes, maxValues, maxTotalBytes)) {
                return false;
            }
            encoder.addClaim(claim);
        }
        for (Map.Entry<String, BitSet> completed : old.completed().entrySet()) {
            String job = completed.getKey();
            BitSet tasks = completed.getValue();
            if (!isJobActive.test(job)) {
                continue;
            }
            List<Integer> itemBytes = encoder.completedPieceBytes(job, tasks);
            if (!encoder.fits(itemBytes, maxValues, maxTotalBytes)) {
                return false;
            }
            encoder.carryCompleted(job, tasks, old);
        }
        return true;
    }
}
