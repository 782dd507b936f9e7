package org.springmill.control.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.leadership.LeaseKeepalive;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.membership.RedirectedWorkers;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.HttpHandler.Call;

/**
 * Takes the heartbeats of workers: the leader answers them, another controller renews leases while
 * it may do so in place of the leader, and any other redirects the worker to the leader.
 */
final class HeartbeatEndpoint {
    private static final byte[] EMPTY = new byte[0];

    private final String node;
    private final Leadership leadership;
    private final JobDirectory directory;
    private final CancellationFreshness cancellationFreshness;
    private final LeaseKeepalive leaseKeepalive;
    private final RedirectedWorkers redirectedWorkers;
    private final Supplier<Optional<Leader>> leader;

    /**
     * @param node the name of this controller
     * @param leader the leader's term of this controller; empty while it does not lead
     */
    HeartbeatEndpoint(
            String node,
            Leadership leadership,
            JobDirectory directory,
            CancellationFreshness cancellationFreshness,
            LeaseKeepalive leaseKeepalive,
            RedirectedWorkers redirectedWorkers,
            Supplier<Optional<Leader>> leader) {
        this.node = node;
        this.leadership = leadership;
        this.directory = directory;
        this.cancellationFreshness = cancellationFreshness;
        this.leaseKeepalive = leaseKeepalive;
        this.redirectedWorkers = redirectedWorkers;
        this.leader = leader;
    }

    /** Answers one heartbeat request. */
    void handle(Call call) {
        if (!call.method().equals("POST")) {
            call.reply(405, EMPTY, 0);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerMessages.decodeHeartbeat(call.body());
        } catch (MalformedMessageException e) {
            call.reply(400, UserMessages.encodeError(e.getMessage()), 0);
            return;
        }
        respond(call, heartbeat);
    }

    private void respond(Call call, Heartbeat heartbeat) {
        if (mayRespondAsLeader()) {
            leader.get().orElseThrow().respondToHeartbeat(call, heartbeat);
        } else if (leaseKeepalive.mayRenewLease(heartbeat, leader.get().isPresent())) {
            renewLease(call, heartbeat);
        } else {
            redirect(call, heartbeat);
        }
    }

    /** The check of the lease may end the term, so the leader is read anew after it. */
    private boolean mayRespondAsLeader() {
        return leader.get().isPresent()
                && leadership.mayRespondToWorkers()
                && cancellationFreshness.isFresh();
    }

    /**
     * Renews a worker's lease under its own fencing token. The only commands are stops of cancelled
     * tasks, for whoever renews a lease may not leave those running.
     */
    private void renewLease(Call call, Heartbeat heartbeat) {
        byte[] response =
                WorkerMessages.encodeHeartbeatResponse(
                        heartbeat.fencingToken(), directory.stopCommandsFor(heartbeat));
        call.reply(200, response, 0);
    }

    private void redirect(Call call, Heartbeat heartbeat) {
        // Only redirected workers count. With those whose lease was just renewed, a leader that
        // could not be reached during a partition would seem to have lost them once it is over.
        redirectedWorkers.add(heartbeat.machine());
        String leadingNode = leadership.leader();
        if (leadingNode == null || leadingNode.equals(node)) {
            call.reply(503, EMPTY, 0);
        } else {
            call.reply(421, WorkerMessages.encodeRedirect(leadingNode), 0);
        }
    }
}
