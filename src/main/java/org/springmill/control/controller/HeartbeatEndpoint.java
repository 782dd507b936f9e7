package org.springmill.control.controller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.leadership.LeaseKeepalive;
import org.springmill.control.leadership.RenewalGround;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.membership.RedirectedWorkers;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.HttpHandler.Call;

/**
 * Handles the heartbeats of workers: the leader answers them; another controller renews the
 * worker's lease if {@link LeaseKeepalive} allows it, and otherwise redirects the worker to the
 * leader.
 */
final class HeartbeatEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);
    private static final byte[] EMPTY = new byte[0];

    private final String node;
    private final Leadership leadership;
    private final JobDirectory directory;
    private final CancellationFreshness cancellationFreshness;
    private final LeaseKeepalive leaseKeepalive;
    private final RedirectedWorkers redirectedWorkers;
    private final Supplier<Optional<Leader>> leader;
    private final Consumer<String> onHeartbeat;

    /**
     * @param node the name of this controller
     * @param leader the leader component of this controller; empty while it does not lead
     * @param onHeartbeat gets the machine of each heartbeat
     */
    HeartbeatEndpoint(
            String node,
            Leadership leadership,
            JobDirectory directory,
            CancellationFreshness cancellationFreshness,
            LeaseKeepalive leaseKeepalive,
            RedirectedWorkers redirectedWorkers,
            Supplier<Optional<Leader>> leader,
            Consumer<String> onHeartbeat) {
        this.node = node;
        this.leadership = leadership;
        this.directory = directory;
        this.cancellationFreshness = cancellationFreshness;
        this.leaseKeepalive = leaseKeepalive;
        this.redirectedWorkers = redirectedWorkers;
        this.leader = leader;
        this.onHeartbeat = onHeartbeat;
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
        onHeartbeat.accept(heartbeat.machine());
        respond(call, heartbeat);
    }

    private void respond(Call call, Heartbeat heartbeat) {
        Optional<RenewalGround> ground = groundToRespondAsLeader();
        if (ground.isPresent()) {
            LOG.debug(
                    "heartbeat {}.{} of worker {} handled as leader of term {}: {}",
                    heartbeat.epoch(),
                    heartbeat.sequence(),
                    heartbeat.machine(),
                    leadership.term(),
                    ground.get());
            leader.get().orElseThrow().respondToHeartbeat(call, heartbeat);
        } else if (leaseKeepalive.mayRenewLease(heartbeat, leader.get().isPresent())) {
            renewLease(call, heartbeat);
        } else {
            redirect(call, heartbeat);
        }
    }

    /**
     * Checking the leadership may end the term, so callers must get the leader again afterwards.
     */
    private Optional<RenewalGround> groundToRespondAsLeader() {
        return leader.get().isPresent()
                ? leadership.groundToRespond().filter(ground -> cancellationFreshness.isFresh())
                : Optional.empty();
    }

    /**
     * Renews a worker's lease and returns its fencing token unchanged. The only commands are stops
     * of cancelled tasks, which would otherwise keep running under the renewed lease.
     */
    private void renewLease(Call call, Heartbeat heartbeat) {
        byte[] response =
                WorkerMessages.encodeHeartbeatResponse(
                        heartbeat.fencingToken(), directory.stopCommandsFor(heartbeat));
        call.reply(200, response, 0);
    }

    private void redirect(Call call, Heartbeat heartbeat) {
        // Workers whose lease is renewed here are not counted: right after a partition, the leader
        // that they could not reach would seem to be isolated.
        redirectedWorkers.add(heartbeat.machine());
        String leadingNode = leadership.leader();
        if (leadingNode == null || leadingNode.equals(node)) {
            call.reply(503, EMPTY, 0);
        } else {
            call.reply(421, WorkerMessages.encodeRedirect(leadingNode), 0);
        }
    }
}
