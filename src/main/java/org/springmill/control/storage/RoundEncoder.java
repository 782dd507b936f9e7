package org.springmill.control.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Fills as many values as one round needs, each up to its limit. */
final class RoundEncoder {
    private final List<Value> values = new ArrayList<>();
    private final Map<String, StoredRound> carriedCompleted = new HashMap<>();
    private final long number;
    private final int valueLimitBytes;
    private int totalBytes;

    /** One value as it is written, and the content that will be indexed once it is committed. */
    static final class Value {
        private final ObjectNode json = RoundCodec.emptyValue();
        private final List<Claim> claims = new ArrayList<>();
        private final StoredRound stored;

        Value(String key) {
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
     * @param valueBytes largest value that the key-value store takes
     */
    RoundEncoder(long number, int valueBytes) {
        this.number = number;
        valueLimitBytes = (int) (valueBytes * RoundCodec.FILL_RATIO);
        openValue();
    }

    List<Value> values() {
        return values;
    }

    /** Approximate bytes of all values together. */
    int totalBytes() {
        return totalBytes;
    }

    /** The first value, whose key stands for the whole round. */
    Value first() {
        return values.get(0);
    }

    private Value current() {
        return values.get(values.size() - 1);
    }

    private void openValue() {
        values.add(new Value(RoundCodec.key(number, values.size())));
    }

    void addClaim(Claim claim) {
        Value value = valueWithRoomFor(RoundCodec.bytes(claim));
        RoundCodec.addClaim(value.json, claim, number);
        value.claims.add(claim);
    }

    void addEnd(String claimKey) {
        Value value = valueWithRoomFor(RoundCodec.endBytes(claimKey));
        RoundCodec.addEnd(value.json, claimKey);
    }

    void addCompleted(String job, BitSet tasks) {
        for (String piece : pieces(tasks)) {
            Value value = valueWithRoomFor(RoundCodec.completedBytes(job, piece));
            RoundCodec.addCompleted(value.json, job, piece);
            BitSet tasksOfPiece = new BitSet();
            CompletedTasks.decode(piece, tasksOfPiece);
            value.stored.addCompleted(job, tasksOfPiece);
        }
    }

    /** Adds the completed tasks of a job that an older value holds. */
    void carryCompleted(String job, BitSet tasks, StoredRound from) {
        addCompleted(job, tasks);
        carriedCompleted.put(job, from);
    }

    /** Once the round is committed, older values no longer need what was carried from them. */
    void releaseCarriedCompleted() {
        carriedCompleted.forEach((job, from) -> from.completed().remove(job));
    }

    /** Sizes of the pieces in which a completed task set would be written. */
    List<Integer> completedSizes(String job, BitSet tasks) {
        return pieces(tasks).stream().map(piece -> RoundCodec.completedBytes(job, piece)).toList();
    }

    private List<String> pieces(BitSet tasks) {
        return CompletedTasks.encode(tasks, valueLimitBytes / 2);
    }

    /**
     * Whether items of these sizes fit into so many values and, together with all that is there,
     * into so many bytes.
     */
    boolean hasRoom(List<Integer> itemSizes, int maxValues, int maxTotalBytes) {
        int valueCount = values.size();
        int bytesLeft = valueLimitBytes - current().stored.bytes();
        int itemBytes = 0;
        for (int itemSize : itemSizes) {
            if (itemSize > bytesLeft) {
                valueCount++;
                bytesLeft = valueLimitBytes;
            }
            bytesLeft -= itemSize;
            itemBytes += itemSize;
        }
        return valueCount <= maxValues && totalBytes + itemBytes <= maxTotalBytes;
    }

    /** Counts an item into the current value, or into a new one if it does not fit. */
    private Value valueWithRoomFor(int itemBytes) {
        if (current().stored.bytes() + itemBytes > valueLimitBytes) {
            openValue();
        }
        current().stored.addBytes(itemBytes);
        totalBytes += itemBytes;
        return current();
    }
}
