package org.springmill.control.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;

/**
 * The cancellations that this process knows of, in the order in which it learned of them, so that
 * others can be told what they lack. It may know of some whose job records it has not read: it was
 * told of them by another controller. One is forgotten when its job's record is moved to the
 * history.
 */
final class Cancellations {
    private static final int INDEX_BITS = 32;

    /**
     * By the order in which they were learned. Indices count on when entries are dropped, so that
     * bookmarks keep their meaning.
     */
    private final TreeMap<Long, Cancellation> cancellationsByIndex = new TreeMap<>();

    private final Map<String, Long> indexByJob = new HashMap<>();
    private long nextIndex;

    /** Tells this process's bookmarks from those of an earlier one, which had another order. */
    private final long processTag;

    /**
     * @param tag random, and so most likely another one than that of an earlier process
     */
    Cancellations(int tag) {
        this.processTag = ((long) tag & 0x7fff_ffff) << INDEX_BITS;
    }

    /**
     * Takes in a cancellation.
     *
     * @return whether it was not known before
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
     * Forgets the cancellation of a job whose record has been moved: no task of it was left then,
     * and none can start, so there is nobody who still has to learn of it.
     */
    void drop(String job) {
        Long index = indexByJob.remove(job);
        if (index != null) {
            cancellationsByIndex.remove(index);
        }
    }

    /** How many are known. */
    int size() {
        return cancellationsByIndex.size();
    }

    /** The cancellation of a job; null if none is known. */
    Cancellation find(String job) {
        Long index = indexByJob.get(job);
        return index == null ? null : cancellationsByIndex.get(index);
    }

    /**
     * What another controller lacks.
     *
     * @param known what that one says of itself in its question
     * @param informed whether this process has read the job records, and so forgotten nothing
     */
    CancellationDelta deltaFor(CancellationDelta known, boolean informed) {
        if (known.revision() < 0) {
            // A controller of the version before this: it would be told everything again in every
            // answer.
            return CancellationDelta.NONE;
        }
        boolean mine = (known.cursor() & -(1L << INDEX_BITS)) == processTag;
        long from = mine ? Math.min(nextIndex, known.cursor() & 0xffff_ffffL) : 0;
        List<Cancellation> lacked = new ArrayList<>();
        for (Map.Entry<Long, Cancellation> entry : cancellationsByIndex.tailMap(from).entrySet()) {
            if (lacked.size() == CancellationDelta.MAX_CANCELLATIONS) {
                return new CancellationDelta(
                        0, processTag | entry.getKey(), false, informed, lacked);
            }
            if (entry.getValue().revision() > known.revision()) {
                lacked.add(entry.getValue());
            }
        }
        return new CancellationDelta(0, processTag | nextIndex, true, informed, lacked);
    }
}
