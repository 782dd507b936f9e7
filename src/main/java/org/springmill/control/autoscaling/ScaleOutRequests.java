package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.CloudClient;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Requests machines from the cloud. A request without a response may have been carried out, so it
 * is idempotent: it is resent with the same key until a response arrives, and no other machines are
 * requested before that. A kind of machine that the cloud refused is not requested again for some
 * time.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

    private static final int NO_CAPACITY = 503;
    private static final int MALFORMED = 400;

    /**
     * A refused kind is not requested for half of its boot time, so that it can be requested twice
     * in the time in which a machine of that kind boots.
     */
    private static final double REFUSAL_BOOTS = 0.5;

    private final Fleet fleet;
    private final CloudClient cloud;
    private final OverdueBoots overdueBoots;
    private final EventLoop loop;

    /** Time in seconds until which a kind counts as refused, by its label. */
    private final Map<String, Double> refusedUntil = new HashMap<>();

    private final List<PendingRequest> pending = new ArrayList<>();
    private int lastRequestNumber;

    /** A request for machines of one kind that has no response yet. */
    private record PendingRequest(MachineKind kind, int count, Request request) {}

    ScaleOutRequests(Fleet fleet, CloudClient cloud, OverdueBoots overdueBoots, EventLoop loop) {
        this.fleet = fleet;
        this.cloud = cloud;
        this.overdueBoots = overdueBoots;
        this.loop = loop;
    }

    /** Whether the cloud has recently refused a kind of machine. */
    boolean isRefused(MachineKind kind, double now) {
        return now < refusedUntil.getOrDefault(kind.label(), 0.0);
    }

    /** Removes expired refusals. */
    void removeExpiredRefusals(double now) {
        refusedUntil.values().removeIf(until -> until < now);
    }

    /** Requests the machines of planned bins, unless an earlier request has no response yet. */
    void requestMachines(List<Bin> planned) {
        if (!pending.isEmpty()) {
            return;
        }
        for (List<MachineKind> machines : groupByLabel(planned)) {
            MachineKind kind = machines.get(0);
            int limit = Math.min(CloudMessages.MAX_RENTALS, overdueBoots.maxPerRequest(kind));
            requestMachines(kind, Math.min(machines.size(), limit));
        }
    }

    private static Collection<List<MachineKind>> groupByLabel(List<Bin> planned) {
        Map<String, List<MachineKind>> groups = new HashMap<>();
        for (Bin bin : planned) {
            MachineKind kind = bin.kind();
            groups.computeIfAbsent(kind.label(), label -> new ArrayList<>()).add(kind);
        }
        return groups.values();
    }

    private void requestMachines(MachineKind kind, int count) {
        LOG.info("scaling out: requesting {} machines of kind {}", count, kind.label());
        byte[] body =
                CloudMessages.encodeRental(
                        nextIdempotencyKey(), kind.type().name(), kind.zone(), kind.spot(), count);
        PendingRequest pendingRequest =
                new PendingRequest(kind, count, cloud.post(CloudMessages.RENTALS_PATH, body));
        pending.add(pendingRequest);
        send(pendingRequest);
    }

    /** Combines term and sequence number, so that no leader ever uses a key twice. */
    private String nextIdempotencyKey() {
        lastRequestNumber++;
        return "r-" + fleet.term() + "-" + lastRequestNumber;
    }

    private void send(PendingRequest pendingRequest) {
        cloud.send(pendingRequest.request(), reply -> responseReceived(pendingRequest, reply));
    }

    private void responseReceived(PendingRequest pendingRequest, Reply reply) {
        if (cloud.isClosed()) {
            return;
        }
        if (reply.ok()) {
            pending.remove(pendingRequest);
            requestGranted(pendingRequest, reply);
        } else if (reply.status() == NO_CAPACITY || reply.status() == MALFORMED) {
            pending.remove(pendingRequest);
            recordRefusal(pendingRequest.kind());
        } else {
            // If the request was carried out, the response to the same key names its machines.
            loop.after(cloud.retryIntervalSeconds(), () -> resend(pendingRequest));
        }
    }

    private void resend(PendingRequest pendingRequest) {
        if (!cloud.isClosed()) {
            send(pendingRequest);
        }
    }

    private void requestGranted(PendingRequest pendingRequest, Reply reply) {
        try {
            List<String> names = CloudMessages.decodeRental(reply.body());
            names.forEach(name -> describe(name, pendingRequest.kind()));
            if (names.size() < pendingRequest.count()) {
                recordRefusal(pendingRequest.kind());
            }
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed response of the cloud to the request for {} machines of kind {}:"
                            + " any created machines will be read from its machine list: {}",
                    pendingRequest.count(),
                    pendingRequest.kind().label(),
                    e.getMessage());
        }
    }

    private void describe(String name, MachineKind kind) {
        Machine machine = fleet.getOrAdd(name);
        machine.describe(machine.address(), kind.type(), kind.zone(), kind.spot());
    }

    private void recordRefusal(MachineKind kind) {
        double refusedSeconds = REFUSAL_BOOTS * kind.type().bootSeconds();
        refusedUntil.put(kind.label(), loop.now() + refusedSeconds);
    }
}
