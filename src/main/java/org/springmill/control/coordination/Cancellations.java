package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.News;

/**
 * Every cancellation that this process knows of, in the order in which it learned of them, so that
 * others can be told what they lack. It may know of some whose job records it has not read: it was
 * told of them by another controller.
 */
final class Cancellations {
    private static final int INDEX_BITS = 32;

    private final List<Cancellation> learned = new ArrayList<>();
    private final Map<String, Cancellation> byJob = new HashMap<>();

    /** Tells this process's bookmarks from those of an earlier one, which had another order. */
    private final long tag;

    /**
     * @param tag random, and so most likely another one than that of an earlier process
     */
    Cancellations(int tag) {
        this.tag = ((long) tag & 0x7fff_ffff) << INDEX_BITS;
    }

    /**
     * Takes in a cancellation.
     *
     * @return whether it was not known before
     */
    boolean add(Cancellation cancellation) {
        if (byJob.putIfAbsent(cancellation.job(), cancellation) != null) {
            return false;
        }
        learned.add(cancellation);
        return true;
    }

    /** The cancellation of a job; null if none is known. */
    Cancellation of(String job) {
        return byJob.get(job);
    }

    /**
     * What another controller lacks.
     *
     * @param known what that one says of itself in its question
     * @param informed whether this process has read the job records, and so forgotten nothing
     */
    News lackedBy(News known, boolean informed) {
        if (known.revision() < 0) {
            // A controller of the version before this: it would be told everything again in every
            // answer.
            return News.NONE;
        }
        boolean mine = (known.bookmark() & -(1L << INDEX_BITS)) == tag;
        int next = mine ? (int) Math.min(learned.size(), known.bookmark() & 0xffff_ffffL) : 0;
        List<Cancellation> lacked = new ArrayList<>();
        while (next < learned.size() && lacked.size() < News.MOST) {
            Cancellation cancellation = learned.get(next++);
            if (cancellation.revision() > known.revision()) {
                lacked.add(cancellation);
            }
        }
        return new News(0, tag | next, next == learned.size(), informed, lacked);
    }
}
