package org.springmill.protocol;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.CancelledTaskQuery;
import org.springmill.protocol.PeerMessages.CatchUpRequest;
import org.springmill.protocol.PeerMessages.CatchUpResponse;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.protocol.PeerMessages.ProgressUpdate;

/** Reads records between controllers; {@link PeerMessageWriter} writes the same fields in order. */
final class PeerMessageReader {
    private final DataInputStream in;

    private PeerMessageReader(DataInputStream in) {
        this.in = in;
    }

    /**
     * Decodes a record.
     *
     * @throws MalformedMessageException if it is truncated or of an unknown version or kind
     */
    static PeerRecord decode(byte[] bytes) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return new PeerMessageReader(in).readRecord();
        } catch (IOException e) {
            throw new MalformedMessageException(
                    "peer record of " + bytes.length + " bytes is truncated");
        }
    }

    private PeerRecord readRecord() throws IOException, MalformedMessageException {
        int version = in.readUnsignedByte();
        if (version != PeerMessages.VERSION) {
            throw new MalformedMessageException(
                    "peer record has version "
                            + version
                            + "; only version "
                            + PeerMessages.VERSION
                            + " is supported");
        }
        int kind = in.readUnsignedByte();
        return switch (kind) {
            case PeerMessages.STATUS -> readStatus();
            case PeerMessages.CANCELLATIONS -> readCancellationNotice();
            case PeerMessages.PROGRESS -> readProgress();
            case PeerMessages.CONGESTION -> readCongestion();
            case PeerMessages.CANCELLED_TASK_QUERY -> readCancelledTaskQuery();
            case PeerMessages.CANCELLED_TASK_MACHINES -> readCancelledTaskMachines();
            case PeerMessages.CATCH_UP_REQUEST -> readCatchUpRequest();
            case PeerMessages.CATCH_UP_RESPONSE -> readCatchUpResponse();
            default ->
                    throw new MalformedMessageException("peer record has the unknown kind " + kind);
        };
    }

    private PeerStatus readStatus() throws IOException, MalformedMessageException {
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
                // Records of earlier versions end here or after one of the following fields.
                hasMore() ? readCancellationDelta() : CancellationDelta.NONE,
                hasMore() && in.readBoolean(),
                hasMore() ? in.readDouble() : 0);
    }

    private boolean hasMore() throws IOException {
        return in.available() > 0;
    }

    private CancellationDelta readCancellationDelta()
            throws IOException, MalformedMessageException {
        return new CancellationDelta(
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                in.readBoolean(),
                readCancellations());
    }

    private CancellationNotice readCancellationNotice()
            throws IOException, MalformedMessageException {
        return new CancellationNotice(in.readUTF(), readCancellations());
    }

    private ProgressUpdate readProgress() throws IOException, MalformedMessageException {
        return new ProgressUpdate(
                in.readUTF(),
                in.readLong(),
                readList(ProgressUpdate.MAX_JOBS, "jobs", this::readJobProgress));
    }

    private CongestionNotice readCongestion() throws IOException, MalformedMessageException {
        return new CongestionNotice(
                in.readUTF(),
                in.readLong(),
                readList(CongestionNotice.MAX_QUEUES, "queues", this::readQueue));
    }

    private CancelledTaskQuery readCancelledTaskQuery() throws IOException {
        return new CancelledTaskQuery(in.readUTF(), in.readUTF());
    }

    private CancelledTaskMachines readCancelledTaskMachines()
            throws IOException, MalformedMessageException {
        return new CancelledTaskMachines(
                in.readUTF(),
                in.readUTF(),
                in.readBoolean(),
                readList(CancelledTaskMachines.MAX_MACHINES, "machines", in::readUTF));
    }

    private CatchUpRequest readCatchUpRequest() throws IOException, MalformedMessageException {
        return new CatchUpRequest(
                in.readUTF(),
                in.readBoolean(),
                readList(CatchUpRequest.MAX_MACHINES, "machines", in::readUTF));
    }

    private CatchUpResponse readCatchUpResponse() throws IOException, MalformedMessageException {
        return new CatchUpResponse(
                in.readUTF(),
                readList(CatchUpResponse.MAX_PENDING, "cancelled jobs", this::readPending));
    }

    private PendingCancellation readPending() throws IOException {
        return new PendingCancellation(in.readUTF(), in.readDouble());
    }

    private List<Cancellation> readCancellations() throws IOException, MalformedMessageException {
        return readList(
                CancellationDelta.MAX_CANCELLATIONS, "cancellations", this::readCancellation);
    }

    private Cancellation readCancellation() throws IOException {
        return new Cancellation(in.readUTF(), in.readLong(), in.readDouble());
    }

    private JobProgress readJobProgress() throws IOException {
        return new JobProgress(in.readUTF(), in.readInt(), in.readInt());
    }

    private CongestedQueue readQueue() throws IOException, MalformedMessageException {
        return new CongestedQueue(in.readUTF(), Priority.of(in.readUTF()), in.readFloat());
    }

    private <T> List<T> readList(int maxElements, String name, ElementReader<T> reader)
            throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        if (count > maxElements) {
            throw new MalformedMessageException(
                    "peer record has "
                            + count
                            + " "
                            + name
                            + ", more than the limit of "
                            + maxElements);
        }
        List<T> elements = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            elements.add(reader.read());
        }
        return elements;
    }

    @FunctionalInterface
    private interface ElementReader<T> {
        T read() throws IOException, MalformedMessageException;
    }
}
