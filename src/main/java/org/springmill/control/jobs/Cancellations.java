package org.springmill.control.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;

/**
 * The cancellations known to this process, as a log in the order in which they were added, so that
 * peers can request those that they lack. Cancellations received from a peer may arrive before
 * their job records. A cancellation is dropped when its job is archived.
 */
final class Cancellations {
    /** Number of low bits of a cursor that hold the log index; those above hold the process tag. */
    private static final int INDEX_BITS = 32;

    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;
    private static final int TAG_MASK = 0x7fff_ffff;

    /**
     * Cancellations by log index. Indexes of dropped entries are not reused, so cursors stay valid.
     */
    private final TreeMap<Long, Cancellation> cancellationsByIndex = new TreeMap<>();

    private final Map<String, Long> indexByJob = new HashMap<>();
    private long nextIndex;

    /** Identifies cursors of this process; the log of an earlier process had a different order. */
    private final long processTag;

    /**
     * @param tag random, so that it very likely differs from the tag of an earlier process
     */
    Cancellations(int tag) {
        this.processTag = ((long) tag & TAG_MASK) << INDEX_BITS;
    }

    /**
     * Adds a cancellation.
     *
     * @return false if a cancellation of the same job is already known
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
     * Drops the cancellation of an archived job. Such a job has no tasks left and can start none,
     * so no peer needs the cancellation.
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
     * @param request contains the revision up to which the peer has read the job records, and the
     *     cursor that this process last sent to it
     * @param loaded whether this process has read all job records
     */
    CancellationDelta deltaFor(CancellationDelta request, boolean loaded) {
        if (request.revision() < 0) {
            // A peer of the previous version keeps no cursor and would receive the whole log in
            // every response.
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
