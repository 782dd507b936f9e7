package org.springmill.control.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encodes one round into as many values as it needs, each up to the size limit. */
final class RoundEncoder {
    private final List<EncodedValue> values = new ArrayList<>();
    private final Map<String, StoredRound> carriedCompleted = new HashMap<>();
    private final long number;
    private final int valueLimitBytes;
    private int totalBytes;

    /** One value to write, and the content to index once it is committed. */
    static final class EncodedValue {
        private final ObjectNode json = RoundCodec.emptyValue();
        private final List<Claim> claims = new ArrayList<>();
        private final StoredRound stored;

        EncodedValue(String key) {
            stored = new StoredRound(key);
        }

        ObjectNode json() {
            return json;
        }

        List<Claim> claims() {
            return claims;
        }

        StoredRound stored() {
            return stored;
        }
    }

    /**
     * Creates an encoder with one empty value.
     *
     * @param number of the round
     * @param valueBytes largest value that the key-value store accepts
     */
    RoundEncoder(long number, int valueBytes) {
        this.number = number;
        valueLimitBytes = (int) (valueBytes * RoundCodec.FILL_RATIO);
        openValue();
    }

    List<EncodedValue> values() {
        return values;
    }

    /** Approximate bytes of all values together. */
    int totalBytes() {
        return totalBytes;
    }

    /** The first value; its key identifies the whole round. */
    EncodedValue first() {
        return values.get(0);
    }

    private EncodedValue current() {
        return values.get(values.size() - 1);
    }

    private void openValue() {
        values.add(new EncodedValue(RoundCodec.key(number, values.size())));
    }

    void addClaim(Claim claim) {
        EncodedValue value = valueWithSpaceFor(RoundCodec.bytes(claim));
        RoundCodec.addClaim(value.json, claim, number);
        value.claims.add(claim);
    }

    void addEnd(String claimKey) {
        EncodedValue value = valueWithSpaceFor(RoundCodec.endBytes(claimKey));
        RoundCodec.addEnd(value.json, claimKey);
    }

    void addCompleted(String job, BitSet tasks) {
        for (String piece : pieces(tasks)) {
            EncodedValue value = valueWithSpaceFor(RoundCodec.completedBytes(job, piece));
            RoundCodec.addCompleted(value.json, job, piece);
            BitSet tasksOfPiece = new BitSet();
            CompletedTasks.decode(piece, tasksOfPiece);
            value.stored.addCompleted(job, tasksOfPiece);
        }
    }

    /** Copies the completed tasks of a job from an older value. */
    void carryCompleted(String job, BitSet tasks, StoredRound from) {
        addCompleted(job, tasks);
        carriedCompleted.put(job, from);
    }

    /** Removes copied completed tasks from the older values; called once the round is committed. */
    void releaseCarriedCompleted() {
        carriedCompleted.forEach((job, from) -> from.completed().remove(job));
    }

    /** Sizes of the pieces that encode a completed task set. */
    List<Integer> completedPieceBytes(String job, BitSet tasks) {
        return pieces(tasks).stream().map(piece -> RoundCodec.completedBytes(job, piece)).toList();
    }

    private List<String> pieces(BitSet tasks) {
        return CompletedTasks.encode(tasks, valueLimitBytes / 2);
    }

    /**
     * Whether items of these sizes in bytes still fit, in the order given.
     *
     * @param maxValues values that the round may have
     * @param maxTotalBytes bytes that all values together may have
     */
    boolean fits(List<Integer> sizes, int maxValues, int maxTotalBytes) {
        int valueCount = values.size();
        int bytesLeft = valueLimitBytes - current().stored.bytes();
        int addedBytes = 0;
        for (int size : sizes) {
            if (size > bytesLeft) {
                valueCount++;
                bytesLeft = valueLimitBytes;
            }
            bytesLeft -= size;
            addedBytes += size;
        }
        return valueCount <= maxValues && totalBytes + addedBytes <= maxTotalBytes;
    }

    /** Adds the item's size to the current value, or to a new one if the item does not fit. */
    private EncodedValue valueWithSpaceFor(int itemBytes) {
        if (current().stored.bytes() + itemBytes > valueLimitBytes) {
            openValue();
        }
        current().stored.addBytes(itemBytes);
        totalBytes += itemBytes;
        return current();
    }
}
