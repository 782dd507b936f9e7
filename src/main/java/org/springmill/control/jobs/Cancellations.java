package org.springmill.control.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;

/**
 * The cancellations that this process knows, as a log in the order in which they were added, so
 * that peers can read those that they do not have. Cancellations received from a peer may precede
 * their job records. A cancellation is dropped when its job is archived.
 */
final class Cancellations {
    /** A cursor is the tag of a process, followed by an index of so many bits. */
    private static final int INDEX_BITS = 32;

    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;
    private static final int TAG_MASK = 0x7fff_ffff;

    /**
     * By index in the log. Indices are not reused when entries are dropped, so that cursors stay
     * valid.
     */
    private final TreeMap<Long, Cancellation> cancellationsByIndex = new TreeMap<>();

    private final Map<String, Long> indexByJob = new HashMap<>();
    private long nextIndex;

    /** Marks the cursors of this process: an earlier one had another order. */
    private final long processTag;

    /**
     * @param tag random, so that it most likely differs from that of an earlier process
     */
    Cancellations(int tag) {
        this.processTag = ((long) tag & TAG_MASK) << INDEX_BITS;
    }

    /**
     * Adds a cancellation.
     *
     * @return false if one of the same job is known
     */
    boolean add(Cancellation cancellation) {
        if (indexByJob.putIfAbsent(cancellation.job(), nextIndex) != null) {
            return false;
        }
        cancellationsByIndex.put(nextIndex, cancellation);
        nextIndex++;
        return true;
    }

    /**
     * Drops the cancellation of an archived job: none of its tasks was left then and none can
     * start, so no peer needs it any more.
     */
    void drop(String job) {
        Long index = indexByJob.remove(job);
        if (index != null) {
            cancellationsByIndex.remove(index);
        }
    }

    /** Number of cancellations. */
    int size() {
        return cancellationsByIndex.size();
    }

    /** The cancellation of a job; null if none is known. */
    Cancellation find(String job) {
        Long index = indexByJob.get(job);
        return index == null ? null : cancellationsByIndex.get(index);
    }

    /**
     * The cancellations that a peer does not have.
     *
     * @param request with the revision up to which the peer has read the job records, and the
     *     cursor that this process sent it last
     * @param loaded whether this process has read all job records
     */
    CancellationDelta deltaFor(CancellationDelta request, boolean loaded) {
        if (request.revision() < 0) {
            // The peer runs the previous version, which keeps no cursor: it would get the whole log
            // in every response.
            return CancellationDelta.NONE;
        }
        boolean isOwnCursor = (request.cursor() & ~INDEX_MASK) == processTag;
        long from = isOwnCursor ? Math.min(nextIndex, request.cursor() & INDEX_MASK) : 0;
        List<Cancellation> missing = new ArrayList<>();
        for (Map.Entry<Long, Cancellation> entry : cancellationsByIndex.tailMap(from).entrySet()) {
            if (missing.size() == CancellationDelta.MAX_CANCELLATIONS) {
                return new CancellationDelta(
                        0, processTag | entry.getKey(), false, loaded, missing);
            }
            if (entry.getValue().revision() > request.revision()) {
                missing.add(entry.getValue());
            }
        }
        return new CancellationDelta(0, processTag | nextIndex, true, loaded, missing);
    }
}
