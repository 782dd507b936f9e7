package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Carries what is still needed of the oldest values into a new round, so that the round's
 * transaction can delete them.
 */
final class RoundCompactor {
    /** A new leader reads all values when it takes over: so many come in a few pages. */
    private static final int FEW_STORED_VALUES = 500;

    /**
     * Where more are needed, there may be so many times as many: rounds that follow each other
     * quickly fill small parts of their values. A fixed bound in its place had every round of a
     * large fleet carry what was needed anyway.
     */
    private static final double MAX_STORED_TO_NEEDED_VALUES = 2;

    /** Below this multiple of a transaction's writes there are too few values to be worth it. */
    private static final int MIN_VALUES_RATIO = 2;

    /**
     * Carrying costs writes: it waits until half of what is stored is no longer needed, so that
     * what is carried stays in proportion to what is new. Without this a fleet's worth of
     * long-lived claims was rewritten every few rounds.
     */
    private static final int MIN_STORED_TO_NEEDED_RATIO = 2;

    private final KeyValueStoreClient store;
    private final RoundIndex index;
    private final Predicate<String> jobActive;

    /**
     * @param jobActive whether a job has not ended, so that its completed tasks are still needed
     */
    RoundCompactor(KeyValueStoreClient store, RoundIndex index, Predicate<String> jobActive) {
        this.store = store;
        this.index = index;
        this.jobActive = jobActive;
    }

    /**
     * Carries as much as the transaction has room for and returns the values that it may delete.
     *
     * @param ending keys of claims that this round ends. They are left out: one that was carried in
     *     a later part of the round than its end would live again.
     * @param otherWrites writes that the transaction has beside those of the round
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
            if (!carry(old, encoder, ending, maxValues, maxTotalBytes)) {
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
        if (index.size() >= mostStoredValues()) {
            return true;
        }
        return index.storedBytes() >= MIN_STORED_TO_NEEDED_RATIO * index.neededBytes();
    }

    private double mostStoredValues() {
        double valueBytes = store.limits().valueBytes() * RoundCodec.FILL_RATIO;
        double neededValues = index.neededBytes() / valueBytes;
        return Math.max(FEW_STORED_VALUES, MAX_STORED_TO_NEEDED_VALUES * neededValues);
    }

    /** Returns false if not all that is needed has room. What was carried until then stays. */
    private boolean carry(
            StoredRound old,
            RoundEncoder encoder,
            Set<String> ending,
            int maxValues,
            int maxTotalBytes) {
        for (Claim claim : old.claims().values()) {
            if (ending.contains(claim.key())) {
                continue;
            }
            List<Integer> sizes = List.of(RoundCodec.bytes(claim));
            if (!encoder.hasRoom(sizes, maxValues, maxTotalBytes)) {
                return false;
            }
            encoder.addClaim(claim);
        }
        for (Map.Entry<String, BitSet> completed : old.completed().entrySet()) {
            String job = completed.getKey();
            BitSet tasks = completed.getValue();
            if (!jobActive.test(job)) {
                continue;
            }
            List<Integer> sizes = encoder.completedSizes(job, tasks);
            if (!encoder.hasRoom(sizes, maxValues, maxTotalBytes)) {
                return false;
            }
            encoder.carryCompleted(job, tasks, old);
        }
        return true;
    }
}
