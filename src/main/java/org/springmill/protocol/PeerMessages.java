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

    /** Kind of a {@link CancelledTaskQuery}. */
    static final int CANCELLED_TASK_QUERY = 5;

    /** Kind of a {@link CancelledTaskMachines}. */
    static final int CANCELLED_TASK_MACHINES = 6;

    /** Kind of a {@link CatchUpRequest}. */
    static final int CATCH_UP_REQUEST = 7;

    /** Kind of a {@link CatchUpResponse}. */
    static final int CATCH_UP_RESPONSE = 8;

    private PeerMessages() {}

    /** A record of any kind. */
    public sealed interface PeerRecord {
        /** The name of the controller that sent it. */
        String from();
    }

    /**
     * Current state of a controller; each is also a request for the receiver's status. A response
     * carries the number of the request that it answers, so that the receiver can date it by the
     * time at which it sent that request.
     *
     * @param from name of the sender
     * @param requestNumber sequence number of the sender's own request
     * @param answeredRequestNumber sequence number of the request that is answered; 0 for none
     * @param storeReachable whether the sender's last request to the key-value store was served
     * @param leading whether it answers workers as the leader
     * @param hasReadLeaderRecord whether it has read the leader's record since its start; its term
     *     is not valid before that
     * @param redirectedWorkers number of workers that recently sent heartbeats to it although it
     *     does not lead
     * @param leaderSuspected whether it has received no message of a leading controller for some
     *     time
     * @param millisecondsSinceConfirmation milliseconds since it last confirmed an outage, or
     *     renewed a worker's lease although it does not lead; if negative, it may continue to renew
     *     leases for that many milliseconds
     * @param term the highest leadership term that it knows
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
            boolean leaderSuspected,
            int millisecondsSinceConfirmation,
            long term,
            CancellationDelta cancellationDelta,
            boolean keepsHistory,
            double storeShare)
            implements PeerRecord {

        /** The status of a controller that does not archive records and lends no rate share. */
        public PeerStatus(
                String from,
                long requestNumber,
                long answeredRequestNumber,
                boolean storeReachable,
                boolean leading,
                boolean hasReadLeaderRecord,
                int redirectedWorkers,
                boolean leaderSuspected,
                int millisecondsSinceConfirmation,
                long term,
                CancellationDelta cancellationDelta) {
            this(
                    from,
                    requestNumber,
                    answeredRequestNumber,
                    storeReachable,
                    leading,
                    hasReadLeaderRecord,
                    redirectedWorkers,
                    leaderSuspected,
                    millisecondsSinceConfirmation,
                    term,
                    cancellationDelta,
                    false,
                    0);
        }
    }

    /**
     * A committed cancellation. It is final, so any peer may pass it on.
     *
     * @param job id of the cancelled job
     * @param revision of the key-value store at which it was committed
     * @param requestedAtSeconds time of day of the user's request, in seconds
     */
    public record Cancellation(String job, long revision, double requestedAtSeconds) {}

    /**
     * Anti-entropy of cancellations. A request states which cancellations its sender has; a
     * response carries those that are missing.
     *
     * @param revision in a request: its sender has read all job records up to this revision;
     *     negative if it does not support cancellations
     * @param cursor position up to which the sender of the request has received the peer's
     *     cancellations; issued by that peer, opaque to the sender of the request
     * @param complete in a response: whether no cancellations remain to be sent after this record
     * @param hasReadJobRecords whether the sender has read the job records since its start and so
     *     knows all earlier cancellations
     * @param cancellations those that this record carries; empty in a request
     */
    public record CancellationDelta(
            long revision,
            long cursor,
            boolean complete,
            boolean hasReadJobRecords,
            List<Cancellation> cancellations) {
        /** Maximum number of cancellations in one record. */
        public static final int MAX_CANCELLATIONS = 100;

        /** Stands for a sender that does not support cancellations. */
        public static final CancellationDelta NONE =
                new CancellationDelta(-1, 0, false, false, List.of());
    }

    /**
     * Cancellations that the sender has just committed; sent before the response to the user.
     *
     * @param from name of the sender
     * @param cancellations at most {@link CancellationDelta#MAX_CANCELLATIONS} are sent
     */
    public record CancellationNotice(String from, List<Cancellation> cancellations)
            implements PeerRecord {}

    /**
     * Asks the leader for the machines on which tasks of a cancelled job may still be. Only a
     * leader that knows the cancellation answers, to all controllers.
     *
     * @param from name of the sender
     * @param job id of the cancelled job
     */
    public record CancelledTaskQuery(String from, String job) implements PeerRecord {}

    /**
     * The machines on which tasks of a cancelled job may still be, as the leader knows them or as
     * the sender has read them from the key-value store. More machines than fit into one record are
     * sent in several.
     *
     * @param from name of the sender
     * @param job id of the cancelled job
     * @param continued whether the machines join those of the record before it
     * @param machines at most {@link #MAX_MACHINES}; none if every task of the job has ended
     */
    public record CancelledTaskMachines(
            String from, String job, boolean continued, List<String> machines)
            implements PeerRecord {
        /** Maximum number of machines in one record. */
        public static final int MAX_MACHINES = 1000;
    }

    /**
     * States that the sender may have missed cancellations from before its start, and asks which
     * are still pending. More machines than fit into one record are sent in several.
     *
     * @param from name of the sender
     * @param continued whether the machines join those of the record before it
     * @param heardMachines machines whose workers the sender has heard recently, at most {@link
     *     #MAX_MACHINES}; sent only while it does not reach the key-value store
     */
    public record CatchUpRequest(String from, boolean continued, List<String> heardMachines)
            implements PeerRecord {
        /** Maximum number of machines in one record. */
        public static final int MAX_MACHINES = 1000;
    }

    /**
     * A cancelled job of which tasks may still be on machines.
     *
     * @param job id of the job
     * @param ageSeconds time since its cancellation, at least
     */
    public record PendingCancellation(String job, double ageSeconds) {}

    /**
     * The answer to a {@link CatchUpRequest} of a controller that has missed no cancellation.
     *
     * @param from name of the sender
     * @param pending all cancelled jobs of which tasks may still be on machines, at most {@link
     *     #MAX_PENDING}
     */
    public record CatchUpResponse(String from, List<PendingCancellation> pending)
            implements PeerRecord {
        /** Maximum number of jobs in one record. */
        public static final int MAX_PENDING = 1000;
    }

    /**
     * Progress of one job, for display.
     *
     * @param job id of the job
     * @param done number of tasks that are done
     * @param running number of tasks that run
     */
    public record JobProgress(String job, int done, int running) {}

    /**
     * Progress of the running jobs, sent by the leader.
     *
     * @param from name of the leader
     * @param term its leadership term
     * @param jobs at most {@link #MAX_JOBS} are sent
     */
    public record ProgressUpdate(String from, long term, List<JobProgress> jobs)
            implements PeerRecord {
        /** Maximum number of jobs in one record. */
        public static final int MAX_JOBS = 400;
    }

    /**
     * A queue whose expected wait for starts exceeds the limit.
     *
     * @param team the team whose work waits, or {@link #ALL_TEAMS}
     * @param priority work of this priority, or of a higher one, waits in it
     * @param excessSeconds by how much its expected wait exceeds the limit
     */
    public record CongestedQueue(String team, Priority priority, double excessSeconds) {
        /** Stands for the work of all teams together. */
        public static final String ALL_TEAMS = "";
    }

    /**
     * The queues whose expected wait exceeds the limit, the longest wait first.
     *
     * @param from name of the leader
     * @param term its leadership term
     * @param queues at most {@link #MAX_QUEUES} are sent
     */
    public record CongestionNotice(String from, long term, List<CongestedQueue> queues)
            implements PeerRecord {
        /** Maximum number of queues in one record. */
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
