package org.springmill.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Records between controllers: a version, a kind, and the fields of that kind. */
public final class PeerMessages {
    private static final int VERSION = 1;
    private static final int STATUS = 1;
    private static final int PROGRESS = 2;
    private static final int CANCELLED = 3;
    private static final int CONGESTED = 4;

    private PeerMessages() {}

    /** Any record. */
    public sealed interface PeerRecord {
        /** Name of the controller that sent it. */
        String from();
    }

    /**
     * What a controller knows at this moment. As an answer it confirms the question it echoes, so
     * that whoever asked can date it by its own clock.
     *
     * @param question number of the sender's own question
     * @param answeredQuestion number of the question that is answered; 0 for none
     * @param storeReachable whether the sender's last request to the key-value store was served
     * @param leading whether it answers workers as the leader
     * @param hasReadLeaderRecord whether it has read the leader's record since it was started, so
     *     that its term means something
     * @param redirectedWorkers how many workers lately came to it with reports although it does not
     *     lead
     * @param leaderSilent whether it has not heard from a leading controller for some time
     * @param confirmedMillisecondsAgo how long ago it last confirmed an outage, or renewed a
     *     worker's lease although it does not lead; negative while it may go on renewing them for
     *     so long
     * @param term the highest leadership term it knows of
     * @param cancellationDelta what it knows of cancelled jobs; {@link CancellationDelta#NONE} from
     *     a version that does not tell
     * @param keepsHistory whether it takes part in the bounded history
     * @param storeShare share of the key-value store's changes: in a question what the asker needs
     *     beyond its own, in an answer what it is lent; 0 from a version that does not lend
     */
    public record PeerStatus(
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
            CancellationDelta cancellationDelta,
            boolean keepsHistory,
            double storeShare)
            implements PeerRecord {

        /**
         * The status of a controller that takes no part in the bounded history and lends nothing.
         */
        public PeerStatus(
                String from,
                long question,
                long echo,
                boolean stateReachable,
                boolean leading,
                boolean informed,
                int workers,
                boolean leaderSilent,
                int witnessAgoMs,
                long term,
                CancellationDelta news) {
            this(
                    from,
                    question,
                    echo,
                    stateReachable,
                    leading,
                    informed,
                    workers,
                    leaderSilent,
                    witnessAgoMs,
                    term,
                    news,
                    false,
                    0);
        }
    }

    /** A committed cancellation. It is final, so it may be acted on whoever tells of it. */
    public record Cancellation(String job, long revision, double askedAt) {}

    /**
     * Anti-entropy of cancellations. A question says what the asker knows, an answer carries what
     * it lacks.
     *
     * @param revision in a question: the asker has read all job records up to it; negative if it
     *     takes no news
     * @param cursor how far the asker has been told; handed out by whoever answers, which alone can
     *     read it
     * @param complete in an answer: nothing of what the sender knows remains to be told
     * @param hasReadJobRecords whether the sender has read the job records since it was started,
     *     and so has forgotten nothing
     */
    public record CancellationDelta(
            long revision,
            long cursor,
            boolean complete,
            boolean hasReadJobRecords,
            List<Cancellation> cancellations) {
        /** So many cancellations go into one record. */
        public static final int MAX_CANCELLATIONS = 100;

        public static final CancellationDelta NONE =
                new CancellationDelta(-1, 0, false, false, List.of());
    }

    /** Cancellations that the sender has just committed, told before its user is. */
    public record CancellationNotice(String from, List<Cancellation> cancellations)
            implements PeerRecord {}

    /** How far one job is, for display. */
    public record JobProgress(String job, int done, int running) {}

    /** The leader's account of running jobs. */
    public record ProgressUpdate(String from, long term, List<JobProgress> jobs)
            implements PeerRecord {
        /** So many jobs go into one record. */
        public static final int MAX_JOBS = 400;
    }

    /**
     * A queue that waits too long for its starts.
     *
     * @param team the team whose work waits, or {@link #ALL_TEAMS}
     * @param priority work of this priority, or of a higher one, waits in it
     * @param excessSeconds by how much its expected wait is too long
     */
    public record CongestedQueue(String team, Priority priority, double excessSeconds) {
        /** Stands for the work of all teams together. */
        public static final String ALL_TEAMS = "";
    }

    /** The queues that the leader finds to wait too long, those that wait longest first. */
    public record CongestionNotice(String from, long term, List<CongestedQueue> queues)
            implements PeerRecord {
        /** So many queues go into one record. */
        public static final int MAX_QUEUES = 1000;
    }

    /** Writes a record; lists that are longer than their bound are cut short. */
    public static byte[] encode(PeerRecord message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            if (message instanceof PeerStatus status) {
                write(out, status);
            } else if (message instanceof CancellationNotice cancelled) {
                out.writeByte(CANCELLED);
                out.writeUTF(cancelled.from);
                write(out, cancelled.cancellations);
            } else if (message instanceof ProgressUpdate progress) {
                write(out, progress);
            } else if (message instanceof CongestionNotice congested) {
                write(out, congested);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, PeerStatus status) throws IOException {
        out.writeByte(STATUS);
        out.writeUTF(status.from);
        out.writeLong(status.question);
        out.writeLong(status.answeredQuestion);
        out.writeBoolean(status.storeReachable);
        out.writeBoolean(status.leading);
        out.writeBoolean(status.hasReadLeaderRecord);
        out.writeInt(status.redirectedWorkers);
        out.writeBoolean(status.leaderSilent);
        out.writeInt(status.confirmedMillisecondsAgo);
        out.writeLong(status.term);
        // Fields of later versions come after these: earlier ones leave unread what they do not
        // know. The last ones are left out where they say nothing, as earlier versions do.
        out.writeLong(status.cancellationDelta.revision);
        out.writeLong(status.cancellationDelta.cursor);
        out.writeBoolean(status.cancellationDelta.complete);
        out.writeBoolean(status.cancellationDelta.hasReadJobRecords);
        write(out, status.cancellationDelta.cancellations);
        boolean lends = status.storeShare != 0;
        if (status.keepsHistory || lends) {
            out.writeBoolean(status.keepsHistory);
        }
        if (lends) {
            out.writeDouble(status.storeShare);
        }
    }

    private static void write(DataOutputStream out, ProgressUpdate progress) throws IOException {
        out.writeByte(PROGRESS);
        out.writeUTF(progress.from);
        out.writeLong(progress.term);
        int count = Math.min(ProgressUpdate.MAX_JOBS, progress.jobs.size());
        out.writeShort(count);
        for (JobProgress job : progress.jobs.subList(0, count)) {
            out.writeUTF(job.job);
            out.writeInt(job.done);
            out.writeInt(job.running);
        }
    }

    private static void write(DataOutputStream out, CongestionNotice congested) throws IOException {
        out.writeByte(CONGESTED);
        out.writeUTF(congested.from);
        out.writeLong(congested.term);
        int count = Math.min(CongestionNotice.MAX_QUEUES, congested.queues.size());
        out.writeShort(count);
        for (CongestedQueue queue : congested.queues.subList(0, count)) {
            out.writeUTF(queue.team);
            out.writeUTF(queue.priority.wireName());
            out.writeFloat((float) queue.excessSeconds);
        }
    }

    /**
     * Reads a record.
     *
     * @throws MalformedMessageException if it is cut short or of an unknown version or kind
     */
    public static PeerRecord decode(byte[] bytes) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readUnsignedByte();
            if (version != VERSION) {
                throw new MalformedMessageException("peer record of version " + version);
            }
            int kind = in.readUnsignedByte();
            return switch (kind) {
                case STATUS -> readStatus(in);
                case CANCELLED -> new CancellationNotice(in.readUTF(), readCancellations(in));
                case PROGRESS -> readProgress(in);
                case CONGESTED -> readCongested(in);
                default -> throw new MalformedMessageException("peer record of kind " + kind);
            };
        } catch (IOException e) {
            throw new MalformedMessageException("peer record cut short");
        }
    }

    private static PeerStatus readStatus(DataInputStream in)
            throws IOException, MalformedMessageException {
        return new PeerStatus(
                in.readUTF(),
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean(),
                in.readBoolean(),
                in.readInt(),
                in.readBoolean(),
                in.readInt(),
                in.readLong(),
                in.available() == 0 ? CancellationDelta.NONE : readNews(in),
                in.available() > 0 && in.readBoolean(),
                in.available() > 0 ? in.readDouble() : 0);
    }

    private static CancellationDelta readNews(DataInputStream in)
            throws IOException, MalformedMessageException {
        return new CancellationDelta(
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean(),
                readCancellations(in));
    }

    private static ProgressUpdate readProgress(DataInputStream in)
            throws IOException, MalformedMessageException {
        String from = in.readUTF();
        long term = in.readLong();
        int count = readCount(in, ProgressUpdate.MAX_JOBS, "jobs");
        List<JobProgress> jobs = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            jobs.add(new JobProgress(in.readUTF(), in.readInt(), in.readInt()));
        }
        return new ProgressUpdate(from, term, jobs);
    }

    private static CongestionNotice readCongested(DataInputStream in)
            throws IOException, MalformedMessageException {
        String from = in.readUTF();
        long term = in.readLong();
        int count = readCount(in, CongestionNotice.MAX_QUEUES, "queues");
        List<CongestedQueue> queues = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            queues.add(new CongestedQueue(in.readUTF(), Priority.of(in.readUTF()), in.readFloat()));
        }
        return new CongestionNotice(from, term, queues);
    }

    private static int readCount(DataInputStream in, int most, String things)
            throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        if (count > most) {
            throw new MalformedMessageException("peer record of " + count + " " + things);
        }
        return count;
    }

    private static void write(DataOutputStream out, List<Cancellation> cancellations)
            throws IOException {
        int count = Math.min(CancellationDelta.MAX_CANCELLATIONS, cancellations.size());
        out.writeShort(count);
        for (Cancellation cancellation : cancellations.subList(0, count)) {
            out.writeUTF(cancellation.job);
            out.writeLong(cancellation.revision);
            out.writeDouble(cancellation.askedAt);
        }
    }

    private static List<Cancellation> readCancellations(DataInputStream in)
            throws IOException, MalformedMessageException {
        int count = readCount(in, CancellationDelta.MAX_CANCELLATIONS, "cancellations");
        List<Cancellation> cancellations = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cancellations.add(new Cancellation(in.readUTF(), in.readLong(), in.readDouble()));
        }
        return cancellations;
    }
}
