package org.springmill.control.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.CatchUpRequest;
import org.springmill.protocol.PeerMessages.CatchUpResponse;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.transport.EventLoop;

/**
 * Whether this process knows the machines of all cancelled tasks that may still run. One that was
 * started recently has missed what users were told before; it asks its peers until one of them that
 * has missed nothing answers, and knows all that this one names. docs/design.md, claim 8.8.
 */
final class CancellationCatchUp {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationCatchUp.class);

    /** A request is valid for this many heartbeat intervals. */
    private static final double REQUEST_VALIDITY_INTERVALS = 2;

    private final CancelledTasks cancelledTasks;
    private final LeaderKnowledge leaderKnowledge;
    private final Peers peers;
    private final EventLoop loop;
    private final double requestValiditySeconds;
    private final Map<String, Request> requestsByNode = new HashMap<>();
    private double caughtUpAt;

    /** The latest request of a peer that may have missed cancellations. */
    private record Request(double receivedAt, Set<String> heardMachines) {}

    /**
     * @param deadlineSeconds within which the tasks of a cancelled job end: a process that has run
     *     for this long has missed none that may still run
     */
    CancellationCatchUp(
            CancelledTasks cancelledTasks,
            LeaderKnowledge leaderKnowledge,
            Peers peers,
            EventLoop loop,
            Timeouts timeouts,
            double deadlineSeconds) {
        this.cancelledTasks = cancelledTasks;
        this.leaderKnowledge = leaderKnowledge;
        this.peers = peers;
        this.loop = loop;
        requestValiditySeconds = timeouts.heartbeatIntervalSeconds() * REQUEST_VALIDITY_INTERVALS;
        caughtUpAt = loop.now() + deadlineSeconds * Timeouts.DRIFT;
    }

    /** Whether this process knows all cancelled tasks that may still run, and their machines. */
    boolean isCaughtUp() {
        return loop.now() >= caughtUpAt || leaderKnowledge.isComplete();
    }

    /** Whether this process may still have to ask its peers. */
    boolean hasRecentlyStarted() {
        return loop.now() < caughtUpAt;
    }

    /** Whether a peer has recently said that it may have missed cancellations. */
    boolean mayHaveMissedAny(String node) {
        Request request = requestsByNode.get(node);
        return request != null && loop.now() - request.receivedAt() < requestValiditySeconds;
    }

    /** The machines that peers which may have missed cancellations hear. */
    Set<String> machinesHeardByPeers() {
        Set<String> machines = new HashSet<>();
        requestsByNode.forEach(
                (node, request) -> {
                    if (mayHaveMissedAny(node)) {
                        machines.addAll(request.heardMachines());
                    }
                });
        return machines;
    }

    /** Handles the request of a peer, and answers it if this process has missed nothing. */
    void requestReceived(CatchUpRequest message) {
        Set<String> heard = new HashSet<>(message.heardMachines());
        Request earlier = requestsByNode.get(message.from());
        if (message.continued() && earlier != null) {
            heard.addAll(earlier.heardMachines());
        }
        requestsByNode.put(message.from(), new Request(loop.now(), heard));
        if (isCaughtUp() && !message.continued()) {
            respond(message.from());
        }
    }

    private void respond(String node) {
        List<PendingCancellation> pending =
                leaderKnowledge
                        .pendingCancellations()
                        .orElseGet(() -> cancelledTasks.pending(loop.now()));
        if (pending.size() <= CatchUpResponse.MAX_PENDING) {
            peers.respondToCatchUp(node, pending);
        }
    }

    /**
     * Handles the answer of a peer that has missed nothing. Machines are announced to all
     * controllers when they become known, so only those announced before the start of this process
     * are unknown here; they are asked for.
     */
    void responseReceived(CatchUpResponse message) {
        List<String> unknown = new ArrayList<>();
        for (PendingCancellation pending : message.pending()) {
            if (cancelledTasks.knows(pending.job())) {
                cancelledTasks.cancelledBy(pending.job(), loop.now() - pending.ageSeconds());
            } else {
                unknown.add(pending.job());
            }
        }
        unknown.stream()
                .limit(CancelledTaskDeletion.MAX_RECORDS_PER_CHECK)
                .forEach(peers::queryCancelledTasks);
        if (unknown.isEmpty() && hasRecentlyStarted()) {
            caughtUpAt = loop.now();
            LOG.info(
                    "cancellations from before the start are known from {}: tasks of {} jobs may"
                            + " still run",
                    message.from(),
                    message.pending().size());
        }
    }
}
