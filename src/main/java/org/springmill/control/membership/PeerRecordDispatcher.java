package org.springmill.control.membership;

import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.CancelledTaskQuery;
import org.springmill.protocol.PeerMessages.CatchUpRequest;
import org.springmill.protocol.PeerMessages.CatchUpResponse;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.ProgressUpdate;

/** Decodes the records that other controllers send and passes each to the handler of its kind. */
final class PeerRecordDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRecordDispatcher.class);

    private final Set<String> nodes;
    private final JobDirectory directory;
    private final Consumer<PeerStatus> onStatus;
    private Consumer<ProgressUpdate> onProgressUpdate = update -> {};
    private Consumer<CongestionNotice> onCongestionNotice = notice -> {};
    private Consumer<CancelledTaskQuery> onCancelledTaskQuery = query -> {};
    private Consumer<CancelledTaskMachines> onCancelledTaskMachines = machines -> {};
    private Consumer<CatchUpRequest> onCatchUpRequest = request -> {};
    private Consumer<CatchUpResponse> onCatchUpResponse = response -> {};

    /**
     * @param nodes all other controllers
     * @param directory receives the cancellations
     */
    PeerRecordDispatcher(Set<String> nodes, JobDirectory directory, Consumer<PeerStatus> onStatus) {
        this.nodes = nodes;
        this.directory = directory;
        this.onStatus = onStatus;
    }

    void onProgressUpdate(Consumer<ProgressUpdate> consumer) {
        onProgressUpdate = consumer;
    }

    void onCongestionNotice(Consumer<CongestionNotice> consumer) {
        onCongestionNotice = consumer;
    }

    void onCancelledTaskQuery(Consumer<CancelledTaskQuery> consumer) {
        onCancelledTaskQuery = consumer;
    }

    void onCancelledTaskMachines(Consumer<CancelledTaskMachines> consumer) {
        onCancelledTaskMachines = consumer;
    }

    void onCatchUpRequest(Consumer<CatchUpRequest> consumer) {
        onCatchUpRequest = consumer;
    }

    void onCatchUpResponse(Consumer<CatchUpResponse> consumer) {
        onCatchUpResponse = consumer;
    }

    /** Handles a record; logs and drops a malformed one. */
    void dispatch(byte[] bytes) {
        try {
            dispatch(PeerMessages.decode(bytes));
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "dropping a record of {} bytes that cannot be decoded: {}",
                    bytes.length,
                    e.getMessage());
        }
    }

    private void dispatch(PeerRecord message) {
        boolean fromPeer = nodes.contains(message.from());
        if (message instanceof PeerStatus status && fromPeer) {
            onStatus.accept(status);
        } else if (message instanceof CancellationNotice notice && fromPeer) {
            notice.cancellations().forEach(directory::merge);
        } else if (message instanceof ProgressUpdate update) {
            onProgressUpdate.accept(update);
        } else if (message instanceof CongestionNotice notice && fromPeer) {
            onCongestionNotice.accept(notice);
        } else if (message instanceof CancelledTaskQuery query && fromPeer) {
            onCancelledTaskQuery.accept(query);
        } else if (message instanceof CancelledTaskMachines machines && fromPeer) {
            onCancelledTaskMachines.accept(machines);
        } else if (message instanceof CatchUpRequest request && fromPeer) {
            onCatchUpRequest.accept(request);
        } else if (message instanceof CatchUpResponse response && fromPeer) {
            onCatchUpResponse.accept(response);
        }
    }
}
