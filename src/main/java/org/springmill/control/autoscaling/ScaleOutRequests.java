package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Rents machines from the cloud. A request without an answer may have been carried out, so it is
 * repeated under the same name until it is answered, and nothing else is rented before that. A kind
 * of machine that the cloud refused is not asked for again for some time.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

    private static final int NO_CAPACITY = 503;
    private static final int MALFORMED = 400;

    /**
     * A refused kind is left out for half of its boot time: whether capacity has come back is asked
     * at least twice in the time in which a machine of that kind boots.
     */
    private static final double REFUSAL_BOOTS = 0.5;

    private final Fleet fleet;
    private final CloudClient cloud;
    private final OverdueBoots overdueBoots;
    private final EventLoop loop;

    /** By the kind's label. */
    private final Map<String, Double> refusedUntil = new HashMap<>();

    private final List<PendingRequest> pending = new ArrayList<>();
    private int lastRequestNumber;

    /** A request for so many machines of a kind. */
    private record PendingRequest(MachineKind kind, int count, Request request) {}

    ScaleOutRequests(Fleet fleet, CloudClient cloud, OverdueBoots overdueBoots, EventLoop loop) {
        this.fleet = fleet;
        this.cloud = cloud;
        this.overdueBoots = overdueBoots;
        this.loop = loop;
    }

    /** Whether the cloud has lately refused a kind of machine. */
    boolean isRefused(MachineKind kind, double now) {
        return now < refusedUntil.getOrDefault(kind.label(), 0.0);
    }

    /** Forgets the refusals that no longer hold. */
    void removeExpiredRefusals(double now) {
        refusedUntil.values().removeIf(until -> until < now);
    }

    /** Rents the machines of planned bins, unless an earlier request is still unanswered. */
    void requestMachines(List<Bin> planned) {
        if (!pending.isEmpty()) {
            return;
        }
        for (List<MachineKind> machines : groupByLabel(planned)) {
            MachineKind kind = machines.get(0);
            int most = Math.min(CloudMessages.MAX_RENTALS, overdueBoots.maxPerRequest(kind));
            requestMachines(kind, Math.min(machines.size(), most));
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
        PendingRequest rental =
                new PendingRequest(kind, count, cloud.post(CloudMessages.RENTALS_PATH, body));
        pending.add(rental);
        send(rental);
    }

    /** Term and number: no other leader, nor this one again, ever uses the same name. */
    private String nextIdempotencyKey() {
        lastRequestNumber++;
        return "r-" + fleet.term() + "-" + lastRequestNumber;
    }

    private void send(PendingRequest rental) {
        cloud.send(rental.request(), reply -> responseReceived(rental, reply));
    }

    private void responseReceived(PendingRequest rental, Reply reply) {
        if (cloud.isClosed()) {
            return;
        }
        if (reply.ok()) {
            pending.remove(rental);
            requestGranted(rental, reply);
        } else if (reply.status() == NO_CAPACITY || reply.status() == MALFORMED) {
            pending.remove(rental);
            recordRefusal(rental.kind());
        } else {
            // The same name again tells which machines it gave, if it was carried out.
            loop.after(cloud.retryIntervalSeconds(), () -> resend(rental));
        }
    }

    private void resend(PendingRequest rental) {
        if (!cloud.isClosed()) {
            send(rental);
        }
    }

    private void requestGranted(PendingRequest rental, Reply reply) {
        try {
            List<String> names = CloudMessages.decodeRental(reply.body());
            names.forEach(name -> describe(name, rental.kind()));
            if (names.size() < rental.count()) {
                recordRefusal(rental.kind());
            }
        } catch (MalformedMessageException e) {
            LOG.warn("malformed response of the cloud to a rental: {}", e.getMessage());
        }
    }

    private void describe(String name, MachineKind kind) {
        Machine machine = fleet.machine(name);
        machine.describe(machine.address(), kind.type(), kind.zone(), kind.spot());
    }

    private void recordRefusal(MachineKind kind) {
        double forSeconds = REFUSAL_BOOTS * kind.type().bootSeconds();
        refusedUntil.put(kind.label(), loop.now() + forSeconds);
    }
}
