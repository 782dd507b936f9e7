package org.springmill.control.storage;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** One stored value, a round or a part of one, with the part of its content still needed. */
final class StoredRound {
    /** Approximate size of a stored claim. */
    static final int ESTIMATED_CLAIM_BYTES = 96;

    /** Approximate size of a stored end with its completed task. */
    static final int ESTIMATED_END_BYTES = 64;

    private final String key;
    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private final Map<String, BitSet> completed = new LinkedHashMap<>();
    private int bytes;
    private long version;

    StoredRound(String key) {
        this.key = key;
    }

    String key() {
        return key;
    }

    /** Live claims by key, if this value has the last copy of them. */
    Map<String, Claim> claims() {
        return claims;
    }

    /** Completed tasks by job. */
    Map<String, BitSet> completed() {
        return completed;
    }

    void addCompleted(String job, BitSet tasks) {
        completed.computeIfAbsent(job, j -> new BitSet()).or(tasks);
    }

    /** Approximate bytes as written. */
    int bytes() {
        return bytes;
    }

    void addBytes(int added) {
        bytes += added;
    }

    /** Approximate bytes of the content still needed; the number never increases. */
    int neededBytes() {
        return claims.size() * ESTIMATED_CLAIM_BYTES;
    }

    /** Revision of the transaction that wrote it. */
    long version() {
        return version;
    }

    void setVersion(long revision) {
        version = revision;
    }
}
