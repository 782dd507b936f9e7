package org.springmill.control.membership;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.membership.PeerConfirmations.Response;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.CancelledTaskQuery;
import org.springmill.protocol.PeerMessages.CatchUpRequest;
import org.springmill.protocol.PeerMessages.CatchUpResponse;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.PeerLink;

/**
 * Exchanges status, cancellations and progress with the other controllers, and polls each for its
 * status at a fixed interval. {@link PeerEvidence} draws conclusions from the responses, {@link
 * PeerCancellations} records up to when cancellations are known, and {@link PeerRecordDispatcher}
 * passes records to their handlers.
 */
public final class Peers implements PeerLink.Listener {
    /** A peer that refuses connections and left this many requests unanswered may have ended. */
    private static final int MAX_UNANSWERED_REQUESTS = 2;

    private final PeerLink link;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final Supplier<PeerStatus> ownStatus;
    private final JobDirectory directory;
    private final StoreRateShares shares;
    private final Set<String> nodes;
    private final PeerPolls polls;
    private final PeerEvidence evidence;
    private final PeerConfirmations confirmations;
    private final PeerCancellations cancellations;
    private final PeerRecordDispatcher dispatcher;

    private Consumer<PeerStatus> onUnresponsiveLeader = status -> {};
    private double resumedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates the exchange, which neither sends nor receives before {@link #start}.
     *
     * @param shares lends and borrows shares of the key-value store's write rate
     * @param ownStatus supplies the status of this controller; this class fills in request numbers
     *     and what it knows itself
     */
    public Peers(
            PeerLink link,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts,
            JobDirectory directory,
            StoreRateShares shares,
            Supplier<PeerStatus> ownStatus) {
        this.link = link;
        this.loop = loop;
        this.settings = settings;
        this.timeouts = timeouts;
        this.directory = directory;
        this.shares = shares;
        this.ownStatus = ownStatus;
        nodes = settings.peers().keySet();
        polls = new PeerPolls(loop, timeouts);
        evidence = new PeerEvidence(loop, timeouts, nodes);
        confirmations = evidence.confirmations();
        cancellations = new PeerCancellations(loop, timeouts, nodes);
        dispatcher = new PeerRecordDispatcher(nodes, directory, this::statusReceived);
    }

    /**
     * Starts receiving records and polling the peers. Must not happen earlier: a record received
     * while the controller was still being constructed made it fail.
     */
    public void start() {
        link.setListener(this);
        pollPeers();
    }

    /** Sets the consumer of the progress of running jobs that the leader broadcasts. */
    public void onProgressUpdate(Consumer<ProgressUpdate> consumer) {
        dispatcher.onProgressUpdate(consumer);
    }

    /** Sets the consumer of the congested queues that the leader of the latest term broadcasts. */
    public void onCongestionNotice(Consumer<CongestionNotice> consumer) {
        dispatcher.onCongestionNotice(
                notice -> {
                    if (notice.term() >= evidence.highestTerm()) {
                        consumer.accept(notice);
                    }
                });
    }

    /**
     * Sets the consumer of the last status of a leader that refuses connections and has not
     * responded for some time. Only called if this status said that the node leads. A node that has
     * not reported this in its current term may only be behind a packet filter: when the lease of
     * every leader that refused connections was revoked, a filter between controllers ended one
     * term after another.
     */
    public void onUnresponsiveLeader(Consumer<PeerStatus> consumer) {
        onUnresponsiveLeader = consumer;
    }

    /**
     * Records that this process was paused: it may have missed responses, and earlier confirmations
     * are no longer valid.
     */
    public void resumed() {
        resumedAt = loop.now();
        evidence.resumed(resumedAt);
    }

    /**
     * Broadcasts a cancellation committed by this controller, before the user gets the response:
     * the leader may be unable to read it from the key-value store.
     */
    public void broadcastCancellation(Cancellation cancellation) {
        broadcast(new CancellationNotice(settings.node(), List.of(cancellation)));
    }

    /** Sets the consumer of queries for the machines with tasks of a cancelled job. */
    public void onCancelledTaskQuery(Consumer<CancelledTaskQuery> consumer) {
        dispatcher.onCancelledTaskQuery(consumer);
    }

    /** Sets the consumer of the machines with tasks of a cancelled job. */
    public void onCancelledTaskMachines(Consumer<CancelledTaskMachines> consumer) {
        dispatcher.onCancelledTaskMachines(consumer);
    }

    /** Asks the leader, whichever peer that is, for the machines with tasks of a cancelled job. */
    public void queryCancelledTasks(String job) {
        broadcast(new CancelledTaskQuery(settings.node(), job));
    }

    /** Sends all peers the machines on which tasks of a cancelled job may still be. */
    public void broadcastCancelledTaskMachines(String job, List<String> machines) {
        broadcastInParts(
                machines,
                CancelledTaskMachines.MAX_MACHINES,
                (continued, part) ->
                        new CancelledTaskMachines(settings.node(), job, continued, part));
    }

    /** Sets the consumer of requests of controllers that may have missed cancellations. */
    public void onCatchUpRequest(Consumer<CatchUpRequest> consumer) {
        dispatcher.onCatchUpRequest(consumer);
    }

    /** Sets the consumer of the answers to such requests of this controller. */
    public void onCatchUpResponse(Consumer<CatchUpResponse> consumer) {
        dispatcher.onCatchUpResponse(consumer);
    }

    /** Asks all peers which cancellations are pending, and says which machines are heard here. */
    public void requestCatchUp(List<String> heardMachines) {
        broadcastInParts(
                heardMachines,
                CatchUpRequest.MAX_MACHINES,
                (continued, part) -> new CatchUpRequest(settings.node(), continued, part));
    }

    /** Tells a peer all cancellations that are pending. */
    public void respondToCatchUp(String node, List<PendingCancellation> pending) {
        send(node, new CatchUpResponse(settings.node(), pending));
    }

    /** Sends a list of machines in as many records as it needs, and an empty one in one record. */
    private void broadcastInParts(
            List<String> machines,
            int maxMachines,
            BiFunction<Boolean, List<String>, PeerRecord> recordOf) {
        int from = 0;
        do {
            int to = Math.min(machines.size(), from + maxMachines);
            List<String> part = List.copyOf(machines.subList(from, to));
            broadcast(recordOf.apply(from > 0, part));
            from = to;
        } while (from < machines.size());
    }

    /** Sends a record that needs no response to all peers. */
    void broadcast(PeerRecord message) {
        nodes.forEach(node -> send(node, message));
    }

    private void send(String node, PeerRecord message) {
        link.send(node, PeerMessages.encode(message));
    }

    private void pollPeers() {
        long requestNumber = polls.next();
        PeerStatus status = ownStatus.get();
        for (String node : nodes) {
            CancellationDelta deltaRequest = directory.deltaRequest(cancellations.cursor(node));
            send(
                    node,
                    completeStatus(
                            status,
                            requestNumber,
                            PeerPolls.NO_REQUEST,
                            deltaRequest,
                            shares.wantedLoan()));
        }
        loop.after(timeouts.peerPollIntervalSeconds(), this::pollPeers);
    }

    private void respond(PeerStatus request) {
        PeerStatus status = ownStatus.get();
        // While this controller receives messages from a leader, its confirmation only takes effect
        // together with that leader's own, which the leader records itself.
        if (!status.storeReachable() && (evidence.isLeaderSuspected() || status.leading())) {
            evidence.recordConfirmation();
        }
        CancellationDelta delta = directory.deltaFor(request.cancellationDelta());
        double lent = shares.lend(request.from(), request.storeShare());
        send(
                request.from(),
                completeStatus(status, PeerPolls.NO_REQUEST, request.requestNumber(), delta, lent));
    }

    /**
     * Completes a status. Its term is never lower than any term that this controller knows: peers
     * rely on a controller still knowing a term that it has named.
     */
    private PeerStatus completeStatus(
            PeerStatus status,
            long requestNumber,
            long answeredRequestNumber,
            CancellationDelta delta,
            double storeShare) {
        return new PeerStatus(
                settings.node(),
                requestNumber,
                answeredRequestNumber,
                status.storeReachable(),
                status.leading(),
                status.hasReadLeaderRecord(),
                status.redirectedWorkers(),
                evidence.isLeaderSuspected(),
                evidence.millisecondsSinceConfirmation(),
                Math.max(evidence.highestTerm(), status.term()),
                delta,
                status.keepsHistory(),
                storeShare);
    }

    @Override
    public void onRecord(byte[] bytes) {
        dispatcher.dispatch(bytes);
    }

    private void statusReceived(PeerStatus status) {
        evidence.statusReceived(status);
        status.cancellationDelta().cancellations().forEach(directory::merge);
        if (status.answeredRequestNumber() == PeerPolls.NO_REQUEST) {
            respond(status);
        } else {
            responseReceived(status);
        }
    }

    private void responseReceived(PeerStatus response) {
        cancellations.cursorReceived(response);
        OptionalDouble requestedAt = polls.sentAt(response.answeredRequestNumber());
        requestedAt.ifPresent(time -> recordResponse(time, response));
    }

    private void recordResponse(double requestedAt, PeerStatus response) {
        confirmations.recordResponse(requestedAt, response);
        cancellations.recordResponse(requestedAt, response);
        if (response.storeShare() > 0) {
            shares.borrow(response.answeredRequestNumber(), requestedAt, response.storeShare());
        }
    }

    @Override
    public void onConnectionRefused(String node) {
        confirmations
                .latest(node)
                .filter(latest -> latest.status().leading() && isOverdue(latest))
                .ifPresent(latest -> onUnresponsiveLeader.accept(latest.status()));
    }

    private boolean isOverdue(Response latest) {
        double waitingSince = Math.max(latest.requestedAt(), resumedAt);
        return loop.now() - waitingSince
                > MAX_UNANSWERED_REQUESTS * timeouts.peerPollIntervalSeconds();
    }

    /** See {@link PeerConfirmations#allConfirmOutage}. */
    public boolean allConfirmOutage(long term) {
        return confirmations.allConfirmOutage(term);
    }

    /** See {@link PeerConfirmations#quorumConfirmsOutage}. */
    public boolean quorumConfirmsOutage(long term) {
        return confirmations.quorumConfirmsOutage(term);
    }

    /**
     * Whether a quorum confirms the outage and has not received anything from a leader for some
     * time. Then no leader that may still exist has the quorum it needs to declare a worker dead.
     */
    public boolean quorumSuspectsLeader(long term) {
        return evidence.quorumSuspectsLeader(term);
    }

    /** See {@link PeerConfirmations#quorumKnows}. */
    public boolean quorumKnows(long term) {
        return confirmations.quorumKnows(term);
    }

    /** See {@link PeerCancellations#cancellationsKnownUntil}. */
    double cancellationsKnownUntil() {
        return cancellations.cancellationsKnownUntil();
    }

    /** The names of all other controllers. */
    public Set<String> nodes() {
        return nodes;
    }

    /** When a peer last responded to this controller; negative infinity if it never did. */
    public double lastResponseAt(String node) {
        return confirmations
                .latest(node)
                .map(Response::receivedAt)
                .orElse(Double.NEGATIVE_INFINITY);
    }

    /** When a status was last received from any other controller. */
    public double lastReceivedAt() {
        return evidence.lastReceivedAt();
    }

    /** Whether every other controller has recently responded to this one. */
    public boolean allPeersResponded() {
        return confirmations.allPeersResponded();
    }

    /** Records that this controller renewed a worker's lease although it does not lead. */
    public void recordLeaseRenewal() {
        evidence.recordConfirmation();
    }

    /**
     * Whether a new term became known so recently that this controller still renews leases for its
     * leader. Otherwise all workers that send heartbeats here would be redirected at the same time
     * to a leader that has just been elected. This controller's status says until when.
     */
    public boolean renewsForNewLeader() {
        return evidence.renewsForNewLeader();
    }

    /** See {@link PeerConfirmations#anyReachesStore}. */
    public boolean anyReachesStore() {
        return confirmations.anyReachesStore();
    }

    /** See {@link PeerConfirmations#anyWithoutHistory}. */
    public boolean anyWithoutHistory() {
        return confirmations.anyWithoutHistory();
    }

    /** See {@link PeerConfirmations#anyLeads}. */
    public boolean anyLeads() {
        return confirmations.anyLeads();
    }

    /** See {@link PeerConfirmations#maxRedirectedWorkers}. */
    public int workersRedirectedByPeers() {
        return confirmations.maxRedirectedWorkers();
    }

    /** The highest term that a peer has named; 0 if none. */
    public long highestTerm() {
        return evidence.highestTerm();
    }

    /**
     * Until when other controllers may renew leases although this one leads. Unknown, and so
     * infinite, unless all of them have responded recently: controllers that receive messages from
     * this leader renew no leases. One that does not respond may be isolated together with workers
     * in a partitioned zone and renew their leases for as long as the partition lasts.
     */
    public double othersMayRenewUntil() {
        return evidence.othersMayRenewUntil();
    }
}
