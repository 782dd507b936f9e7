package org.springmill.control.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.control.storage.RoundCodec.RoundValue;
import org.springmill.control.storage.RoundLog.RecoveredRounds;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Entry;

/**
 * The stored values of all rounds, oldest first, and the value that holds each live claim. It is
 * recovered by replaying the values in the order of their keys; the last copy of a claim is kept.
 */
final class RoundIndex {
    private ArrayDeque<StoredRound> values = new ArrayDeque<>();
    private Map<String, StoredRound> valueByClaim = new HashMap<>();
    private long lastNumber;
    private long logStartVersion;

    /** Takes over the content of another index, which must not be used any more. */
    void replaceBy(RoundIndex other) {
        values = other.values;
        valueByClaim = other.valueByClaim;
        lastNumber = other.lastNumber;
        logStartVersion = other.logStartVersion;
    }

    /** Number of the last round that is known to be committed. */
    long lastNumber() {
        return lastNumber;
    }

    void setLastNumber(long number) {
        lastNumber = number;
    }

    int size() {
        return values.size();
    }

    /** All values, oldest first. */
    Iterable<StoredRound> values() {
        return values;
    }

    /** Sets the version of the record that stands for the predecessor while the log is empty. */
    void setLogStartVersion(long version) {
        logStartVersion = version;
    }

    /** The condition that no round was committed after the newest one known here. */
    Condition predecessor() {
        StoredRound newest = values.peekLast();
        return newest == null
                ? new Condition(RoundCodec.LOG_START_KEY, logStartVersion)
                : new Condition(newest.key(), newest.version());
    }

    /** Adds a value that was read from the key-value store. */
    void replay(Entry entry) {
        long number = RoundCodec.number(entry.key());
        RoundValue content = RoundCodec.decode(entry.value(), number);
        StoredRound value = new StoredRound(entry.key());
        value.setVersion(entry.version());
        value.addBytes(content.claims().size() * StoredRound.ESTIMATED_CLAIM_BYTES);
        value.addBytes(content.ended().size() * StoredRound.ESTIMATED_END_BYTES);
        add(value, content.claims());
        content.ended().forEach(this::removeClaim);
        content.completed().forEach(value::addCompleted);
        lastNumber = number;
    }

    /**
     * Adds the newest value with its claims and removes those claims from older values. A key
     * stands once: if it stood twice, compaction would delete the value that holds live claims
     * together with the other one.
     *
     * @throws IllegalStateException if the value is not the newest
     */
    void add(StoredRound value, List<Claim> claims) {
        StoredRound newest = values.peekLast();
        if (newest != null && newest.key().compareTo(value.key()) >= 0) {
            throw new IllegalStateException(
                    "round " + value.key() + " cannot follow round " + newest.key());
        }
        values.add(value);
        for (Claim claim : claims) {
            removeClaim(claim.key());
            value.claims().put(claim.key(), claim);
            valueByClaim.put(claim.key(), value);
        }
    }

    void removeAll(Collection<StoredRound> replaced) {
        values.removeAll(replaced);
    }

    void removeClaim(String claimKey) {
        StoredRound value = valueByClaim.remove(claimKey);
        if (value != null) {
            value.claims().remove(claimKey);
        }
    }

    /** The live claims and completed tasks of all values together. */
    RecoveredRounds recover() {
        List<Claim> live = new ArrayList<>();
        Map<String, BitSet> completed = new HashMap<>();
        for (StoredRound value : values) {
            live.addAll(value.claims().values());
            value.completed()
                    .forEach(
                            (job, tasks) ->
                                    completed.computeIfAbsent(job, j -> new BitSet()).or(tasks));
        }
        return new RecoveredRounds(live, completed);
    }

    int storedBytes() {
        return values.stream().mapToInt(StoredRound::bytes).sum();
    }

    int neededBytes() {
        return values.stream().mapToInt(StoredRound::neededBytes).sum();
    }
}
