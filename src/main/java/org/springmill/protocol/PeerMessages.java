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
            boolean keepsHistory)
            implements PeerRecord {

        /** The status of a controller that takes no part in the bounded history. */
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
                    false);
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

    /** Writes a record; lists that are longer than their bound are cut short. */
    public static byte[] encode(PeerRecord message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            if (message instanceof Status s) {
                out.writeByte(STATUS);
                out.writeUTF(s.from);
                out.writeLong(s.question);
                out.writeLong(s.echo);
                out.writeBoolean(s.stateReachable);
                out.writeBoolean(s.leading);
                out.writeBoolean(s.informed);
                out.writeInt(s.workers);
                out.writeBoolean(s.leaderSilent);
                out.writeInt(s.witnessAgoMs);
                out.writeLong(s.term);
                // Fields of later versions come after these: earlier ones leave unread what they do
                // not know.
                out.writeLong(s.news.revision);
                out.writeLong(s.news.bookmark);
                out.writeBoolean(s.news.complete);
                out.writeBoolean(s.news.informed);
                write(out, s.news.cancellations);
                if (s.keepsHistory) {
                    out.writeBoolean(true);
                }
            } else if (message instanceof Cancelled c) {
                out.writeByte(CANCELLED);
                out.writeUTF(c.from);
                write(out, c.cancellations);
            } else if (message instanceof Progress p) {
                out.writeByte(PROGRESS);
                out.writeUTF(p.from);
                out.writeLong(p.term);
                int count = Math.min(Progress.MOST, p.jobs.size());
                out.writeShort(count);
                for (JobProgress job : p.jobs.subList(0, count)) {
                    out.writeUTF(job.job);
                    out.writeInt(job.done);
                    out.writeInt(job.running);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
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
            if (kind == STATUS) {
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
                        in.available() == 0
                                ? News.NONE
                                : new News(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readBoolean(),
                                        in.readBoolean(),
                                        readCancellations(in)),
                        in.available() > 0 && in.readBoolean());
            }
            if (kind == CANCELLED) {
                return new Cancelled(in.readUTF(), readCancellations(in));
            }
            if (kind != PROGRESS) {
                throw new BadMessageException("peer record of kind " + kind);
            }
            String from = in.readUTF();
            long term = in.readLong();
            int count = in.readUnsignedShort();
            if (count > Progress.MOST) {
                throw new BadMessageException("peer record of " + count + " jobs");
            }
            List<JobProgress> jobs = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                jobs.add(new JobProgress(in.readUTF(), in.readInt(), in.readInt()));
            }
            return new Progress(from, term, jobs);
        } catch (IOException e) {
            throw new BadMessageException("peer record cut short");
        }
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
        int count = in.readUnsignedShort();
        if (count > News.MOST) {
            throw new BadMessageException("peer record of " + count + " cancellations");
        }
        List<Cancellation> cancellations = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cancellations.add(new Cancellation(in.readUTF(), in.readLong(), in.readDouble()));
        }
        return cancellations;
    }
}
