package org.springmill.protocol;

import java.util.List;

/**
 * Records between controllers: a version, a kind, and the fields of that kind. {@link
 * PeerMessageWriter} writes the fields, {@link PeerMessageReader} reads them.
 */
public final class PeerMessages {
    /** Version of the format, the first byte of each record. */
    static final int VERSION = 1;

    /** Kind of a {@link PeerStatus}, the second byte of its records. */
    static final int STATUS = 1;

    /** Kind of a {@link ProgressUpdate}. */
    static final int PROGRESS = 2;

    /** Kind of a {@link CancellationNotice}. */
    static final int CANCELLATIONS = 3;

    /** Kind of a {@link CongestionNotice}. */
    static final int CONGESTION = 4;

    private PeerMessages() {}

    /** A record of any kind. */
    public sealed interface PeerRecord {
        /** The name of the controller that sent it. */
        String from();
    }

    /**
     * State of a controller at this moment; each is also a request for the receiver's own. As a
     * response it confirms the request that it answers, so that the receiver, whose request that
     * was, can date it by its own clock.
     *
     * @param from name of the sender
     * @param requestNumber sequence number of the sender's own request
     * @param answeredRequestNumber sequence number of the request that is answered; 0 for none
     * @param storeReachable whether the sender's last request to the key-value store was served
     * @param leading whether it answers workers as the leader
     * @param hasReadLeaderRecord whether it has read the leader's record since it was started, so
     *     that its term means something
     * @param redirectedWorkers how many workers lately sent heartbeats to it although it does not
     *     lead
     * @param leaderSilent whether it has not heard from a leading controller for some time
     * @param confirmedMillisecondsAgo how long ago it last confirmed an outage, or renewed a
     *     worker's lease although it does not lead; negative while it may go on renewing them for
     *     so long
     * @param term the highest leadership term it knows of
     * @param cancellationDelta cancelled jobs that it knows of; {@link CancellationDelta#NONE} from
     *     a version without this field
     * @param keepsHistory whether it archives the records of ended jobs
     * @param storeShare share of the key-value store's write rate: in a request what the sender
     *     needs beyond its own share, in a response what it lends to the receiver; 0 from a version
     *     that does not lend
     */
    public record PeerStatus(
            String from,
            long requestNumber,
            long answeredRequestNumber,
            boolean storeReachable,
            boolean leading,
            boolean hasReadLeaderRecord,
            int redirectedWorkers,
            boolean leaderSilent,
            int confirmedMillisecondsAgo,
            long term,
            CancellationDelta cancellationDelta,
            boolean keepsHistory,
            double storeShare)
            implements PeerRecord {

        /** The status of a controller that does not archive records and lends no rate share. */
        public PeerStatus(
                String from,
                long question,
                long answeredQuestion,
                boolean storeReachable,
                boolean leading,
                boolean hasReadLeaderRecord,
                int redirectedWorkers,
                boolean leaderSilent,
                int confirmedMillisecondsAgo,
                long term,
                CancellationDelta cancellationDelta) {
            this(
                    from,
                    question,
                    answeredQuestion,
                    storeReachable,
                    leading,
                    hasReadLeaderRecord,
                    redirectedWorkers,
                    leaderSilent,
                    confirmedMillisecondsAgo,
                    term,
                    cancellationDelta,
                    false,
                    0);
        }
    }

    /**
     * A committed cancellation. It is final, so it may be acted on whichever peer sent it.
     *
     * @param job id of the cancelled job
     * @param revision of the key-value store at which it was committed
     * @param requestedAtSeconds time of day of the user's request, in seconds
     */
    public record Cancellation(String job, long revision, double requestedAtSeconds) {}

    /**
     * Anti-entropy of cancellations. A request says which ones its sender has, a response carries
     * those that are missing.
     *
     * @param revision in a request: its sender has read all job records up to it; negative if it
     *     takes no cancellations
     * @param cursor how many cancellations the sender of the request has received; opaque to it,
     *     and handed out by the peer that answers
     * @param complete in a response: no cancellation that its sender knows remains to be sent
     * @param hasReadJobRecords whether the sender has read the job records since it was started, so
     *     that it knows all cancellations before that
     * @param cancellations those that this record carries; empty in a request
     */
    public record CancellationDelta(
            long revision,
            long cursor,
            boolean complete,
            boolean hasReadJobRecords,
            List<Cancellation> cancellations) {
        /** The most cancellations in one record. */
        public static final int MAX_CANCELLATIONS = 100;

        /** Neither knows nor carries any cancellation. */
        public static final CancellationDelta NONE =
                new CancellationDelta(-1, 0, false, false, List.of());
    }

    /**
     * Cancellations that the sender has just committed; sent before its user is answered.
     *
     * @param from name of the sender
     * @param cancellations at most {@link CancellationDelta#MAX_CANCELLATIONS} are sent
     */
    public record CancellationNotice(String from, List<Cancellation> cancellations)
            implements PeerRecord {}

    /**
     * Progress of one job, for display.
     *
     * @param job id of the job
     * @param done number of tasks that are done
     * @param running number of tasks that run
     */
    public record JobProgress(String job, int done, int running) {}

    /**
     * Progress of the running jobs, as the leader sees it.
     *
     * @param from name of the leader
     * @param term its leadership term
     * @param jobs at most {@link #MAX_JOBS} are sent
     */
    public record ProgressUpdate(String from, long term, List<JobProgress> jobs)
            implements PeerRecord {
        /** The most jobs in one record. */
        public static final int MAX_JOBS = 400;
    }

    /**
     * A queue whose expected wait for starts is too long.
     *
     * @param team the team whose work waits, or {@link #ALL_TEAMS}
     * @param priority work of this priority, or of a higher one, waits in it
     * @param excessSeconds by how much its expected wait is too long
     */
    public record CongestedQueue(String team, Priority priority, double excessSeconds) {
        /** Stands for the work of all teams together. */
        public static final String ALL_TEAMS = "";
    }

    /**
     * The queues whose expected wait is too long, the longest wait first.
     *
     * @param from name of the leader
     * @param term its leadership term
     * @param queues at most {@link #MAX_QUEUES} are sent
     */
    public record CongestionNotice(String from, long term, List<CongestedQueue> queues)
            implements PeerRecord {
        /** The most queues in one record. */
        public static final int MAX_QUEUES = 1000;
    }

    /** Encodes a record; lists that are longer than their bound are truncated. */
    public static byte[] encode(PeerRecord message) {
        return PeerMessageWriter.encode(message);
    }

    /**
     * Decodes a record.
     *
     * @throws MalformedMessageException if it is truncated or of an unknown version or kind
     */
    public static PeerRecord decode(byte[] bytes) throws MalformedMessageException {
        return PeerMessageReader.decode(bytes);
    }
}
