package org.springmill.control.leadership;

import java.util.Optional;

/**
 * What this controller knows about the leader record in the key-value store, which may be its own.
 */
final class KnownLeader {
    private static final long NOT_VACANT = 0;

    private Optional<String> node = Optional.empty();
    private long term;
    private boolean recordRead;

    /** Revision at which the record was last found missing: every term up to it is over. */
    private long vacantAtRevision = NOT_VACANT;

    /** The node that leads; empty if there is no leader record or its process has ended. */
    Optional<String> node() {
        return node;
    }

    boolean isNode(String otherNode) {
        return node.isPresent() && node.get().equals(otherNode);
    }

    /** The highest term known from the record; 0 if none. */
    long term() {
        return term;
    }

    /** Records that the key-value store has answered a read of the leader record. */
    void markRecordRead() {
        recordRead = true;
    }

    /** Whether the record was read since this process started. */
    boolean hasReadRecord() {
        return recordRead;
    }

    /** Records who leads; the revision of the leader record is the term. */
    void recorded(String leader, long revision) {
        term = Math.max(term, revision);
        node = Optional.of(leader);
        vacantAtRevision = NOT_VACANT;
    }

    /** Records that there was no leader record at a revision. */
    void vacant(long revision) {
        node = Optional.empty();
        vacantAtRevision = revision;
    }

    /** Records that the leader's process has ended, although its leader record still exists. */
    void processEnded() {
        node = Optional.empty();
    }

    /**
     * Whether the leader record was missing when it was last read and no later term is known.
     *
     * @param highestPeerTerm the highest term named by another controller
     */
    boolean isVacant(long highestPeerTerm) {
        return vacantAtRevision > NOT_VACANT && Math.max(term, highestPeerTerm) <= vacantAtRevision;
    }
}
