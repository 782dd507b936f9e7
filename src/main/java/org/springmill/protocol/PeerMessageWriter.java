package org.springmill.protocol;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
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

/** Writes records between controllers; {@link PeerMessageReader} reads the same fields in order. */
final class PeerMessageWriter {
    private static final int INITIAL_BUFFER_BYTES = 64;

    private final DataOutputStream out;

    private PeerMessageWriter(DataOutputStream out) {
        this.out = out;
    }

    /** Encodes a record; lists that are longer than their bound are truncated. */
    static byte[] encode(PeerRecord message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            new PeerMessageWriter(out).writeRecord(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private void writeRecord(PeerRecord message) throws IOException {
        out.writeByte(PeerMessages.VERSION);
        if (message instanceof PeerStatus status) {
            out.writeByte(PeerMessages.STATUS);
            writeStatus(status);
        } else if (message instanceof CancellationNotice notice) {
            out.writeByte(PeerMessages.CANCELLATIONS);
            writeCancellationNotice(notice);
        } else if (message instanceof ProgressUpdate progress) {
            out.writeByte(PeerMessages.PROGRESS);
            writeProgress(progress);
        } else if (message instanceof CongestionNotice notice) {
            out.writeByte(PeerMessages.CONGESTION);
            writeCongestion(notice);
        } else if (message instanceof CancelledTaskQuery query) {
            out.writeByte(PeerMessages.CANCELLED_TASK_QUERY);
            writeCancelledTaskQuery(query);
        } else if (message instanceof CancelledTaskMachines machines) {
            out.writeByte(PeerMessages.CANCELLED_TASK_MACHINES);
            writeCancelledTaskMachines(machines);
        } else if (message instanceof CatchUpRequest request) {
            out.writeByte(PeerMessages.CATCH_UP_REQUEST);
            writeCatchUpRequest(request);
        } else if (message instanceof CatchUpResponse response) {
            out.writeByte(PeerMessages.CATCH_UP_RESPONSE);
            writeCatchUpResponse(response);
        }
    }

    private void writeStatus(PeerStatus status) throws IOException {
        out.writeUTF(status.from());
        out.writeLong(status.requestNumber());
        out.writeLong(status.answeredRequestNumber());
        out.writeBoolean(status.storeReachable());
        out.writeBoolean(status.leading());
        out.writeBoolean(status.hasReadLeaderRecord());
        out.writeInt(status.redirectedWorkers());
        out.writeBoolean(status.leaderSuspected());
        out.writeInt(status.millisecondsSinceConfirmation());
        out.writeLong(status.term());
        // The following fields were added later; earlier versions ignore them. The last two are
        // omitted at their default values, so that the bytes equal those of earlier versions.
        writeCancellationDelta(status.cancellationDelta());
        boolean hasStoreShare = status.storeShare() != 0;
        if (status.keepsHistory() || hasStoreShare) {
            out.writeBoolean(status.keepsHistory());
        }
        if (hasStoreShare) {
            out.writeDouble(status.storeShare());
        }
    }

    private void writeCancellationDelta(CancellationDelta delta) throws IOException {
        out.writeLong(delta.revision());
        out.writeLong(delta.cursor());
        out.writeBoolean(delta.complete());
        out.writeBoolean(delta.hasReadJobRecords());
        writeCancellations(delta.cancellations());
    }

    private void writeCancellationNotice(CancellationNotice notice) throws IOException {
        out.writeUTF(notice.from());
        writeCancellations(notice.cancellations());
    }

    private void writeProgress(ProgressUpdate progress) throws IOException {
        out.writeUTF(progress.from());
        out.writeLong(progress.term());
        writeList(progress.jobs(), ProgressUpdate.MAX_JOBS, this::writeJobProgress);
    }

    private void writeCongestion(CongestionNotice notice) throws IOException {
        out.writeUTF(notice.from());
        out.writeLong(notice.term());
        writeList(notice.queues(), CongestionNotice.MAX_QUEUES, this::writeQueue);
    }

    private void writeCancelledTaskQuery(CancelledTaskQuery query) throws IOException {
        out.writeUTF(query.from());
        out.writeUTF(query.job());
    }

    private void writeCancelledTaskMachines(CancelledTaskMachines message) throws IOException {
        out.writeUTF(message.from());
        out.writeUTF(message.job());
        out.writeBoolean(message.continued());
        writeList(message.machines(), CancelledTaskMachines.MAX_MACHINES, out::writeUTF);
    }

    private void writeCatchUpRequest(CatchUpRequest message) throws IOException {
        out.writeUTF(message.from());
        out.writeBoolean(message.continued());
        writeList(message.heardMachines(), CatchUpRequest.MAX_MACHINES, out::writeUTF);
    }

    private void writeCatchUpResponse(CatchUpResponse message) throws IOException {
        out.writeUTF(message.from());
        writeList(message.pending(), CatchUpResponse.MAX_PENDING, this::writePending);
    }

    private void writePending(PendingCancellation pending) throws IOException {
        out.writeUTF(pending.job());
        out.writeDouble(pending.ageSeconds());
    }

    private void writeCancellations(List<Cancellation> cancellations) throws IOException {
        writeList(cancellations, CancellationDelta.MAX_CANCELLATIONS, this::writeCancellation);
    }

    private void writeCancellation(Cancellation cancellation) throws IOException {
        out.writeUTF(cancellation.job());
        out.writeLong(cancellation.revision());
        out.writeDouble(cancellation.requestedAtSeconds());
    }

    private void writeJobProgress(JobProgress progress) throws IOException {
        out.writeUTF(progress.job());
        out.writeInt(progress.done());
        out.writeInt(progress.running());
    }

    private void writeQueue(CongestedQueue queue) throws IOException {
        out.writeUTF(queue.team());
        out.writeUTF(queue.priority().wireName());
        out.writeFloat((float) queue.excessSeconds());
    }

    private <T> void writeList(List<T> elements, int maxElements, ElementWriter<T> writer)
            throws IOException {
        int count = Math.min(maxElements, elements.size());
        out.writeShort(count);
        for (T element : elements.subList(0, count)) {
            writer.write(element);
        }
    }

    @FunctionalInterface
    private interface ElementWriter<T> {
        void write(T element) throws IOException;
    }
}
