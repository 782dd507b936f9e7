package org.springmill.control.leadership;

import java.util.Optional;

/** What this controller knows of the leader record in the key-value store, its own included. */
final class KnownLeader {
    private static final long NOT_VACANT = 0;

    private Optional<String> node = Optional.empty();
    private long term;
    private boolean recordRead;

    /** Revision at which the record was last found missing: every term up to it is over. */
    private long vacantAtRevision = NOT_VACANT;

    /** The node that leads as far as is known. */
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

    /** Notes that the key-value store has answered a read of the record. */
    void recordRead() {
        recordRead = true;
    }

    /** Whether the record was read since this process started. */
    boolean hasReadRecord() {
        return recordRead;
    }

    /** Takes the record of a leader; its revision is the term. */
    void recorded(String leader, long revision) {
        term = Math.max(term, revision);
        node = Optional.of(leader);
        vacantAtRevision = NOT_VACANT;
    }

    /** Notes that there was no record at a revision. */
    void vacant(long revision) {
        node = Optional.empty();
        vacantAtRevision = revision;
    }

    /** Notes that the leader's process has ended, although its record is still there. */
    void processEnded() {
        node = Optional.empty();
    }

    /**
     * Whether the last that is known of the record is that there is none.
     *
     * @param highestPeerTerm the highest term that another controller knows of
     */
    boolean isVacant(long highestPeerTerm) {
        return vacantAtRevision > NOT_VACANT && Math.max(term, highestPeerTerm) <= vacantAtRevision;
    }
}
