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
     * @param echo number of the question that is answered; 0 for none
     * @param stateReachable whether the sender's last request to the state service was served
     * @param leading whether it answers workers as the leader
     * @param informed whether it has read the leader's record since it was started, so that its
     *     term means something
     * @param workers how many workers lately came to it with reports although it does not lead
     * @param leaderSilent whether it has not heard from a leading controller for some time
     * @param witnessAgoMs how long ago it last confirmed an outage, or renewed a worker's lease
     *     although it does not lead; negative while it may go on renewing them for so long
     * @param term the highest leadership term it knows of
     * @param news what it knows of cancelled jobs; {@link News#NONE} from a version that does not
     *     tell
     * @param keepsHistory whether it takes part in the bounded history
     * @param stateShare share of the state service's changes: in a question what the asker needs
     *     beyond its own, in an answer what it is lent; 0 from a version that does not lend
     */
    public record Status(
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
            News news,
            boolean keepsHistory,
            double stateShare)
            implements PeerRecord {

        /**
         * The status of a controller that takes no part in the bounded history and lends nothing.
         */
        public Status(
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
                News news) {
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
     * @param bookmark how far the asker has been told; handed out by whoever answers, which alone
     *     can read it
     * @param complete in an answer: nothing of what the sender knows remains to be told
     * @param informed whether the sender has read the job records since it was started, and so has
     *     forgotten nothing
     */
    public record News(
            long revision,
            long bookmark,
            boolean complete,
            boolean informed,
            List<Cancellation> cancellations) {
        /** So many cancellations go into one record. */
        public static final int MOST = 100;

        public static final News NONE = new News(-1, 0, false, false, List.of());
    }

    /** Cancellations that the sender has just committed, told before its user is. */
    public record Cancelled(String from, List<Cancellation> cancellations) implements PeerRecord {}

    /** How far one job is, for display. */
    public record JobProgress(String job, int done, int running) {}

    /** The leader's account of running jobs. */
    public record Progress(String from, long term, List<JobProgress> jobs) implements PeerRecord {
        /** So many jobs go into one record. */
        public static final int MOST = 400;
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
    public record Congested(String from, long term, List<CongestedQueue> queues)
            implements PeerRecord {
        /** So many queues go into one record. */
        public static final int MOST = 1000;
    }

    /** Writes a record; lists that are longer than their bound are cut short. */
    public static byte[] encode(PeerRecord message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            if (message instanceof Status status) {
                write(out, status);
            } else if (message instanceof Cancelled cancelled) {
                out.writeByte(CANCELLED);
                out.writeUTF(cancelled.from);
                write(out, cancelled.cancellations);
            } else if (message instanceof Progress progress) {
                write(out, progress);
            } else if (message instanceof Congested congested) {
                write(out, congested);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, Status status) throws IOException {
        out.writeByte(STATUS);
        out.writeUTF(status.from);
        out.writeLong(status.question);
        out.writeLong(status.echo);
        out.writeBoolean(status.stateReachable);
        out.writeBoolean(status.leading);
        out.writeBoolean(status.informed);
        out.writeInt(status.workers);
        out.writeBoolean(status.leaderSilent);
        out.writeInt(status.witnessAgoMs);
        out.writeLong(status.term);
        // Fields of later versions come after these: earlier ones leave unread what they do not
        // know. The last ones are left out where they say nothing, as earlier versions do.
        out.writeLong(status.news.revision);
        out.writeLong(status.news.bookmark);
        out.writeBoolean(status.news.complete);
        out.writeBoolean(status.news.informed);
        write(out, status.news.cancellations);
        boolean lends = status.stateShare != 0;
        if (status.keepsHistory || lends) {
            out.writeBoolean(status.keepsHistory);
        }
        if (lends) {
            out.writeDouble(status.stateShare);
        }
    }

    private static void write(DataOutputStream out, Progress progress) throws IOException {
        out.writeByte(PROGRESS);
        out.writeUTF(progress.from);
        out.writeLong(progress.term);
        int count = Math.min(Progress.MOST, progress.jobs.size());
        out.writeShort(count);
        for (JobProgress job : progress.jobs.subList(0, count)) {
            out.writeUTF(job.job);
            out.writeInt(job.done);
            out.writeInt(job.running);
        }
    }

    private static void write(DataOutputStream out, Congested congested) throws IOException {
        out.writeByte(CONGESTED);
        out.writeUTF(congested.from);
        out.writeLong(congested.term);
        int count = Math.min(Congested.MOST, congested.queues.size());
        out.writeShort(count);
        for (CongestedQueue queue : congested.queues.subList(0, count)) {
            out.writeUTF(queue.team);
            out.writeUTF(queue.priority.wire());
            out.writeFloat((float) queue.excessSeconds);
        }
    }

    /**
     * Reads a record.
     *
     * @throws BadMessageException if it is cut short or of an unknown version or kind
     */
    public static PeerRecord decode(byte[] bytes) throws BadMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readUnsignedByte();
            if (version != VERSION) {
                throw new BadMessageException("peer record of version " + version);
            }
            int kind = in.readUnsignedByte();
            return switch (kind) {
                case STATUS -> readStatus(in);
                case CANCELLED -> new Cancelled(in.readUTF(), readCancellations(in));
                case PROGRESS -> readProgress(in);
                case CONGESTED -> readCongested(in);
                default -> throw new BadMessageException("peer record of kind " + kind);
            };
        } catch (IOException e) {
            throw new BadMessageException("peer record cut short");
        }
    }

    private static Status readStatus(DataInputStream in) throws IOException, BadMessageException {
        return new Status(
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
                in.available() == 0 ? News.NONE : readNews(in),
                in.available() > 0 && in.readBoolean(),
                in.available() > 0 ? in.readDouble() : 0);
    }

    private static News readNews(DataInputStream in) throws IOException, BadMessageException {
        return new News(
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean(),
                readCancellations(in));
    }

    private static Progress readProgress(DataInputStream in)
            throws IOException, BadMessageException {
        String from = in.readUTF();
        long term = in.readLong();
        int count = readCount(in, Progress.MOST, "jobs");
        List<JobProgress> jobs = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            jobs.add(new JobProgress(in.readUTF(), in.readInt(), in.readInt()));
        }
        return new Progress(from, term, jobs);
    }

    private static Congested readCongested(DataInputStream in)
            throws IOException, BadMessageException {
        String from = in.readUTF();
        long term = in.readLong();
        int count = readCount(in, Congested.MOST, "queues");
        List<CongestedQueue> queues = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            queues.add(new CongestedQueue(in.readUTF(), Priority.of(in.readUTF()), in.readFloat()));
        }
        return new Congested(from, term, queues);
    }

    private static int readCount(DataInputStream in, int most, String things)
            throws IOException, BadMessageException {
        int count = in.readUnsignedShort();
        if (count > most) {
            throw new BadMessageException("peer record of " + count + " " + things);
        }
        return count;
    }

    private static void write(DataOutputStream out, List<Cancellation> cancellations)
            throws IOException {
        int count = Math.min(News.MOST, cancellations.size());
        out.writeShort(count);
        for (Cancellation cancellation : cancellations.subList(0, count)) {
            out.writeUTF(cancellation.job);
            out.writeLong(cancellation.revision);
            out.writeDouble(cancellation.askedAt);
        }
    }

    private static List<Cancellation> readCancellations(DataInputStream in)
            throws IOException, BadMessageException {
        int count = readCount(in, News.MOST, "cancellations");
        List<Cancellation> cancellations = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cancellations.add(new Cancellation(in.readUTF(), in.readLong(), in.readDouble()));
        }
        return cancellations;
    }
}
