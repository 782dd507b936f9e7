package org.springmill.control.borrowing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.RoundLog;
import org.springmill.protocol.KeyValueStoreMessages.Page;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;

/**
 * The unsettled recalls in the key-value store, under {@code recall/<round>}. They are written in
 * the transaction of a round, so the round's conditions also apply to them: those on the leader's
 * own record and on the absence of the round's key. The recalls of one round share a value. It also
 * takes over the unsettled recalls of earlier values if they fit, so that the number of values
 * stays small.
 */
public final class RecallLog {
    /** A value is filled to this share of its size limit, as for rounds. */
    private static final double FILL_RATIO = 0.9;

    /** Writes that a transaction has to allow for each record of recalls. */
    private static final int WRITES_PER_RECORD = 4;

    /**
     * Largest number of records. With their largest size, all of them fit into one transaction with
     * a round.
     */
    private static final int MAX_RECORDS = 3;

    private static final int MAX_RECORD_BYTES = 8 * 1024;

    private static final int VALUE_OVERHEAD_BYTES = 24;

    private final KeyValueStoreClient store;

    /**
     * Encoded sizes of decided recalls; cached, since each new recall is checked against all of
     * them.
     */
    private final Map<String, Integer> bytesByKey = new HashMap<>();

    private Map<String, List<Recall>> records = new TreeMap<>();

    /** The records as they will be once the pending transaction is committed. */
    private Map<String, List<Recall>> staged = records;

    /** Creates a log that is empty until it is loaded. */
    public RecallLog(KeyValueStoreClient store) {
        this.store = store;
    }

    /** The part of each transaction that rounds leave free for recalls. */
    public static RoundLog.Reserve reserve(Settings.StoreLimits limits) {
        int records = maxRecords(limits) + 1;
        return new RoundLog.Reserve(records, records * recordBytes(limits));
    }

    private static int maxRecords(Settings.StoreLimits limits) {
        int byWrites = limits.writesPerCommit() / WRITES_PER_RECORD;
        return Math.max(1, Math.min(MAX_RECORDS, byWrites));
    }

    private static int recordBytes(Settings.StoreLimits limits) {
        return (int) Math.min(MAX_RECORD_BYTES, limits.valueBytes() * FILL_RATIO);
    }

    /**
     * Loads all recalls that earlier leaders committed. Only a leader may call this, since no other
     * controller can write recalls then.
     *
     * @param done called with null if the key-value store could not be read
     */
    public void load(Consumer<Collection<Recall>> done) {
        store.list(RecallCodec.PREFIX, page -> done.accept(page == null ? null : recover(page)));
    }

    private Collection<Recall> recover(Page page) {
        records = new TreeMap<>();
        page.entries()
                .forEach(entry -> records.put(entry.key(), RecallCodec.decode(entry.value())));
        staged = records;
        return all();
    }

    /** The committed recalls, the earliest first. */
    public Collection<Recall> all() {
        return records.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Whether one more recall fits into the next round's value in addition to those already
     * decided.
     */
    public boolean fits(List<Recall> decided, Recall next) {
        int bytes = VALUE_OVERHEAD_BYTES + RecallCodec.bytes(next) + bytes(decided);
        if (bytes > valueLimitBytes()) {
            return false;
        }
        boolean absorbsAny =
                records.values().stream()
                        .anyMatch(record -> bytes + bytes(record) <= valueLimitBytes());
        return records.size() < maxRecords(store.limits()) || absorbsAny;
    }

    private int valueLimitBytes() {
        return recordBytes(store.limits());
    }

    private int bytes(List<Recall> recalls) {
        return recalls.stream().mapToInt(this::bytes).sum();
    }

    private int bytes(Recall recall) {
        return bytesByKey.computeIfAbsent(recall.key(), key -> RecallCodec.bytes(recall));
    }

    /**
     * Prepares the writes of a round's transaction; {@link #committed} follows once it is applied.
     *
     * @param decided new recalls
     * @param settled keys of recalls that are settled
     */
    public List<Write> stage(long round, List<Recall> decided, Set<String> settled) {
        if (decided.isEmpty() && settled.isEmpty()) {
            staged = records;
            return List.of();
        }
        Set<String> changedKeys = new LinkedHashSet<>();
        Map<String, List<Recall>> next = new TreeMap<>();
        records.forEach(
                (key, recalls) -> {
                    List<Recall> left = new ArrayList<>(recalls);
                    if (left.removeIf(recall -> settled.contains(recall.key()))) {
                        changedKeys.add(key);
                    }
                    next.put(key, left);
                });
        if (!decided.isEmpty()) {
            addRecord(round, decided, next, changedKeys);
        }
        next.values().removeIf(List::isEmpty);
        staged = next;
        return changedKeys.stream().map(key -> write(key, next.get(key))).toList();
    }

    /** Adds the value of a round and moves the recalls of earlier values into it where they fit. */
    private void addRecord(
            long round,
            List<Recall> decided,
            Map<String, List<Recall>> records,
            Set<String> changedKeys) {
        List<Recall> content = new ArrayList<>();
        int bytes = VALUE_OVERHEAD_BYTES + bytes(decided);
        for (Map.Entry<String, List<Recall>> earlier : records.entrySet()) {
            int more = bytes(earlier.getValue());
            if (bytes + more <= valueLimitBytes()) {
                bytes += more;
                content.addAll(earlier.getValue());
                earlier.setValue(List.of());
                changedKeys.add(earlier.getKey());
            }
        }
        content.addAll(decided);
        records.put(RecallCodec.key(round), content);
        changedKeys.add(RecallCodec.key(round));
    }

    private static Write write(String key, List<Recall> recalls) {
        return recalls == null ? Write.delete(key) : Write.put(key, RecallCodec.encode(recalls));
    }

    /** Called once the writes that were prepared last are committed. */
    public void committed() {
        records = staged;
        bytesByKey.keySet().retainAll(keys());
    }

    private Set<String> keys() {
        return all().stream().map(Recall::key).collect(Collectors.toSet());
    }
}
