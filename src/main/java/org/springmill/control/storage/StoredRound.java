package org.springmill.control.storage;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** One stored value, a round or part of one, as far as its content is still needed. */
final class StoredRound {
    /** Rough size of a stored claim, and of an end together with its completed task. */
    static final int ESTIMATED_CLAIM_BYTES = 96;

    static final int ESTIMATED_END_BYTES = 64;

    private final String key;
    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private final Map<String, BitSet> completed = new LinkedHashMap<>();
    private int bytes;
    private boolean mayBeAppliedAgain;

    StoredRound(String key) {
        this.key = key;
    }

    String key() {
        return key;
    }

    /** Claims by key that live in this value. */
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

    /** Approximate bytes as written; what is still needed of them only shrinks. */
    int bytes() {
        return bytes;
    }

    void addBytes(int added) {
        bytes += added;
    }

    int neededBytes() {
        return claims.size() * ESTIMATED_CLAIM_BYTES;
    }

    /** Whether another copy of its transaction, sent in this term, may still be applied. */
    boolean mayBeAppliedAgain() {
        return mayBeAppliedAgain;
    }

    void setMayBeAppliedAgain() {
        mayBeAppliedAgain = true;
    }
}
