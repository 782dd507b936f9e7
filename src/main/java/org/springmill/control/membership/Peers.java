package org.springmill.control.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.membership.PeerConfirmations.Answer;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.PeerLink;

/**
 * Exchange of status, cancellations and progress with the other controllers. Each is asked for its
 * status in a steady interval; {@link PeerConfirmations} tells what follows from the answers,
 * {@link PeerCancellations} how far cancellations are known through them.
 */
public final class Peers implements PeerLink.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);

    /** A question has this number if it is none, and an answer if it answers none. */
    private static final long NO_QUESTION = 0;

    private static final double MICROSECONDS_PER_SECOND = 1e6;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** A peer that left so many questions unanswered and refuses connections may be gone. */
    private static final int MAX_UNANSWERED_QUESTIONS = 2;

    private final PeerLink link;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final Supplier<PeerStatus> ownStatus;
    private final JobDirectory directory;
    private final Set<String> nodes;
    private final PeerConfirmations confirmations;
    private final PeerCancellations cancellations;
    private final StoreRateShares shares;

    /** When each recent question was asked. */
    private final Map<Long, Double> askedAtByQuestion = new HashMap<>();

    private Consumer<ProgressUpdate> onProgress = progress -> {};
    private Consumer<CongestionNotice> onCongested = congested -> {};
    private Consumer<PeerStatus> onUnresponsiveLeader = status -> {};

    /** When this controller last confirmed an outage, or kept a worker's lease as a follower. */
    private double lastConfirmationAt;

    private double lastLeaderHeardAt;
    private double lastHeardAt;
    private double resumedAt = Double.NEGATIVE_INFINITY;
    private double keepsLeasesForNewLeaderUntil = Double.NEGATIVE_INFINITY;
    private long lastQuestion;
    private long highestTerm;

    /**
     * @param ownStatus gives the status of this controller; numbers and what this class knows are
     *     filled in here
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
        confirmations = new PeerConfirmations(loop, timeouts, nodes);
        cancellations = new PeerCancellations(loop, timeouts, nodes);
        // An earlier process of this node may have confirmed an outage until just now.
        lastConfirmationAt = loop.now();
        lastLeaderHeardAt = loop.now();
        lastHeardAt = loop.now();
        // Nor may answers to its questions, still on the way, be taken for answers to this one's.
        lastQuestion = (long) (loop.timeOfDay() * MICROSECONDS_PER_SECOND);
    }

    /**
     * Takes records only from here on: one that came while the controller was still being put
     * together broke it.
     */
    public void start() {
        link.onRecord(this);
        pollPeers();
    }

    /** Takes the progress of running jobs as the leader tells it. */
    public void onProgress(Consumer<ProgressUpdate> taker) {
        onProgress = taker;
    }

    /** Takes the queues that wait too long as the leader tells them. */
    public void onCongested(Consumer<CongestionNotice> taker) {
        onCongested = taker;
    }

    /**
     * Notes that this controller stood still: it may have missed every answer, and what was
     * confirmed to it before counts no longer.
     */
    public void resumed() {
        resumedAt = loop.now();
        lastLeaderHeardAt = Math.max(lastLeaderHeardAt, resumedAt);
        confirmations.discardAnswersBefore(resumedAt);
    }

    /**
     * Told of a node that refuses connections and has not answered for some time, with its last
     * status, if that was that it leads. One that never said so in its present term may merely be
     * behind a packet filter: deposing every leader that refuses let a filter between controllers
     * end term after term.
     */
    public void onUnresponsiveLeader(Consumer<PeerStatus> taker) {
        onUnresponsiveLeader = taker;
    }

    /**
     * Tells of a cancellation committed here, before its user is told: a leader may be unable to
     * read of it.
     */
    public void broadcastCancellation(Cancellation cancellation) {
        CancellationNotice message = new CancellationNotice(settings.node(), List.of(cancellation));
        nodes.forEach(node -> send(node, message));
    }

    /** Tells all peers something that needs no answer. */
    void broadcast(PeerRecord message) {
        nodes.forEach(node -> send(node, message));
    }

    private void send(String node, PeerRecord message) {
        link.send(node, PeerMessages.encode(message));
    }

    private void pollPeers() {
        lastQuestion++;
        askedAtByQuestion.put(lastQuestion, loop.now());
        askedAtByQuestion
                .values()
                .removeIf(
                        askedAt ->
                                askedAt < loop.now() - timeouts.peerConfirmationValiditySeconds());
        PeerStatus status = ownStatus.get();
        for (String node : nodes) {
            CancellationDelta known = directory.deltaRequest(cancellations.cursor(node));
            send(node, message(status, lastQuestion, NO_QUESTION, known, shares.wanted()));
        }
        loop.after(timeouts.peerPollIntervalSeconds(), this::pollPeers);
    }

    private void answer(PeerStatus question) {
        PeerStatus status = ownStatus.get();
        // While this controller hears a leader, its confirmation is of use only together with that
        // leader's own, which the leader remembers itself.
        if (!status.storeReachable() && (leaderSilent() || status.leading())) {
            lastConfirmationAt = loop.now();
        }
        CancellationDelta lacking = directory.deltaFor(question.cancellationDelta());
        double lent = shares.lend(question.from(), question.storeShare());
        send(question.from(), message(status, NO_QUESTION, question.question(), lacking, lent));
    }

    /**
     * The term told never falls behind one that was heard: an answer that names a term is a promise
     * to know it from then on.
     */
    private PeerStatus message(
            PeerStatus status,
            long question,
            long answeredQuestion,
            CancellationDelta delta,
            double stateShare) {
        return new PeerStatus(
                settings.node(),
                question,
                answeredQuestion,
                status.storeReachable(),
                status.leading(),
                status.hasReadLeaderRecord(),
                status.redirectedWorkers(),
                leaderSilent(),
                millisecondsSinceConfirmation(),
                Math.max(highestTerm, status.term()),
                delta,
                status.keepsHistory(),
                stateShare);
    }

    /** Negative while this controller may go on keeping leases for so long. */
    private int millisecondsSinceConfirmation() {
        double latest = Math.max(lastConfirmationAt, keepsLeasesForNewLeaderUntil);
        double milliseconds = (loop.now() - latest) * MILLISECONDS_PER_SECOND;
        return (int) Math.min(Integer.MAX_VALUE, milliseconds);
    }

    @Override
    public void received(byte[] bytes) {
        try {
            PeerRecord message = PeerMessages.decode(bytes);
            boolean fromPeer = nodes.contains(message.from());
            if (message instanceof PeerStatus status && fromPeer) {
                statusReceived(status);
            } else if (message instanceof CancellationNotice cancelled && fromPeer) {
                cancelled.cancellations().forEach(directory::learn);
            } else if (message instanceof ProgressUpdate progress) {
                onProgress.accept(progress);
            } else if (message instanceof CongestionNotice congested && fromPeer) {
                congestedReceived(congested);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("{}", e.getMessage());
        }
    }

    /** What a leader of an earlier term says is out of date. */
    private void congestedReceived(CongestionNotice congested) {
        if (congested.term() >= highestTerm) {
            onCongested.accept(congested);
        }
    }

    private void statusReceived(PeerStatus status) {
        if (status.term() > highestTerm) {
            highestTerm = status.term();
            keepsLeasesForNewLeaderUntil = loop.now() + timeouts.newLeaderKeepaliveSeconds();
        }
        lastHeardAt = loop.now();
        if (status.leading()) {
            lastLeaderHeardAt = loop.now();
        }
        status.cancellationDelta().cancellations().forEach(directory::learn);
        if (status.answeredQuestion() == NO_QUESTION) {
            answer(status);
        } else {
            answerReceived(status);
        }
    }

    private void answerReceived(PeerStatus answer) {
        cancellations.cursorReceived(answer);
        Double askedAt = askedAtByQuestion.get(answer.answeredQuestion());
        if (askedAt != null) {
            confirmations.recordAnswer(askedAt, answer);
            cancellations.recordAnswer(askedAt, answer);
            if (answer.storeShare() > 0) {
                shares.borrow(answer.answeredQuestion(), askedAt, answer.storeShare());
            }
        }
    }

    @Override
    public void refused(String node) {
        Answer latest = confirmations.latest(node);
        if (latest != null && latest.status().leading() && isOverdue(latest)) {
            onUnresponsiveLeader.accept(latest.status());
        }
    }

    private boolean isOverdue(Answer latest) {
        double since = Math.max(latest.askedAt(), resumedAt);
        return loop.now() - since > MAX_UNANSWERED_QUESTIONS * timeouts.peerPollIntervalSeconds();
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
     * Whether a quorum confirms the outage and has not heard of a leader for some time: then any
     * leader there may be has no quorum to declare a silent worker lost with.
     */
    public boolean quorumMissesLeader(long term) {
        return leaderSilent() && confirmations.quorumMissesLeader(term);
    }

    private boolean leaderSilent() {
        return loop.now() - lastLeaderHeardAt > timeouts.leaderSuspectAfterSeconds();
    }

    /** See {@link PeerConfirmations#quorumKnows}. */
    public boolean quorumKnows(long term) {
        return confirmations.quorumKnows(term);
    }

    /** See {@link PeerCancellations#cancellationsKnownUntil}. */
    double cancellationsKnownUntil() {
        return cancellations.cancellationsKnownUntil();
    }

    /** When any other controller was last heard of. */
    public double lastHeardAt() {
        return lastHeardAt;
    }

    /** Whether every other controller has lately answered this one. */
    public boolean allPeersResponded() {
        return confirmations.allPeersResponded();
    }

    /** Notes that a worker's lease was renewed by this controller, which does not lead. */
    public void recordLeaseRenewal() {
        lastConfirmationAt = loop.now();
    }

    /**
     * Whether a new term was heard of so lately that this controller still keeps leases for its
     * leader: the workers that come here stay, rather than all be sent on to one controller that
     * has just begun. Its answers say until when.
     */
    public boolean keepsLeasesForNewLeader() {
        return loop.now() < keepsLeasesForNewLeaderUntil;
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

    /** The highest term that a peer has told of; 0 if none. */
    public long highestTerm() {
        return highestTerm;
    }

    /**
     * Until when other controllers may have renewed leases although this one leads. Unknown, and so
     * without end, unless all of them have lately answered this one: having heard it they keep
     * none. One that does not answer may be isolated with the workers of a partitioned zone and
     * keep their leases for as long as the partition lasts.
     */
    public double othersMayRenewUntil() {
        if (!allPeersResponded()) {
            return Double.POSITIVE_INFINITY;
        }
        double latest = Math.max(lastConfirmationAt, confirmations.lastConfirmationOfPeers());
        return latest + timeouts.peerConfirmationValidityOnAnyClockSeconds();
    }
}
