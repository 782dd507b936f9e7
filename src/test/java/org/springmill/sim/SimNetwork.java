package org.springmill.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Delivers HTTP requests and responses with a delay. A test can lose, refuse, delay, duplicate or
 * hold them.
 */
public final class SimNetwork {
    private static final double DELAY_SECONDS = 0.002;

    /** The protocol's limit on the body of a request and on a line of a response. */
    private static final int MAX_BYTES = 64 * 1024;

    private static final int MALFORMED = 400;

    /** How the network treats a request. */
    public enum Delivery {
        DELIVER,
        /** Is lost; the sender gets a timeout. */
        DROP,
        /** The connection is refused; the sender learns that nothing was sent. */
        REFUSE,
        /** Arrives and is executed, but its response is lost. */
        LOSE_RESPONSE,
        /** Is delivered only by {@link #releaseHeld}; the sender gets a timeout. */
        HOLD
    }

    /** Decides how a request is treated, by its sender, address and content. */
    public interface DeliveryRule {
        Delivery deliveryOf(String from, Request request);
    }

    private final SimulatedCluster cluster;
    private final List<HeldRequest> held = new ArrayList<>();
    private final Set<String> unreachableMachines = new HashSet<>();
    private final Set<String> heartbeatsBlocked = new HashSet<>();
    private final Set<String> partitionFromStore = new HashSet<>();
    private DeliveryRule deliveryRule = (from, request) -> Delivery.DELIVER;
    private Delays requestDelays = (from, request) -> 0;
    private Delays responseDelays = (from, request) -> 0;
    private SplittableRandom random;
    private double duplicatedHeartbeatShare;
    private Predicate<Request> isCommandCopied = request -> false;
    private double maxCommandCopyDelaySeconds;
    private Predicate<Request> commandCopyRule = request -> true;
    private int refusedForSize;

    private record HeldRequest(String from, Request request) {}

    /** Additional delay of a message, in seconds. */
    public interface Delays {
        double delaySeconds(String from, Request request);
    }

    SimNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void random(SplittableRandom source) {
        random = source;
    }

    public void setDeliveryRule(DeliveryRule rule) {
        deliveryRule = rule;
    }

    /** Delays requests. A request is executed even if its sender has timed out by then. */
    public void delayRequests(Delays delays) {
        requestDelays = delays;
    }

    /** Delays responses. A response is ignored if the sender has timed out by then. */
    public void delayResponses(Delays delays) {
        responseDelays = delays;
    }

    /** Loses all responses and direct commands to a machine, while its heartbeats still arrive. */
    public void blockMessagesTo(SimWorker machine) {
        unreachableMachines.add(machine.name());
        unreachableMachines.add(machine.address());
    }

    /** Refuses the heartbeats of a machine, while direct commands still reach it. */
    public void blockHeartbeatsFrom(SimWorker machine) {
        heartbeatsBlocked.add(machine.name());
    }

    /** Delivers the heartbeats of all machines again. */
    public void deliverHeartbeats() {
        heartbeatsBlocked.clear();
    }

    /** Drops all requests from a controller to the key-value store. */
    public void partitionFromStore(String controller) {
        partitionFromStore.add(controller);
    }

    /**
     * Delivers a random share of the heartbeats a second time, from 2 s to three lease durations
     * later.
     */
    public void duplicateHeartbeats(double heartbeatShare) {
        duplicatedHeartbeatShare = heartbeatShare;
    }

    /**
     * Delivers some of the direct commands to machines a second time, up to {@code maxDelaySeconds}
     * later.
     *
     * @param isCopied which commands
     * @param mayArrive whether the copy is delivered, asked when it would arrive
     */
    public void duplicateCommands(
            Predicate<Request> isCopied, double maxDelaySeconds, Predicate<Request> mayArrive) {
        isCommandCopied = isCopied;
        maxCommandCopyDelaySeconds = maxDelaySeconds;
        commandCopyRule = mayArrive;
    }

    void endFailures() {
        isCommandCopied = request -> false;
        deliveryRule = (from, request) -> Delivery.DELIVER;
        requestDelays = (from, request) -> 0;
        responseDelays = (from, request) -> 0;
        duplicatedHeartbeatShare = 0;
        unreachableMachines.clear();
        heartbeatsBlocked.clear();
        partitionFromStore.clear();
    }

    public boolean hasHeldRequests() {
        return !held.isEmpty();
    }

    /** Delivers all held requests and ignores their responses. */
    public void releaseHeld() {
        for (HeldRequest message : List.copyOf(held)) {
            cluster.route(message.from(), message.request(), reply -> {});
        }
        held.clear();
    }

    /** Delivers a request again and ignores its response. */
    public void deliverAgain(Request request) {
        cluster.route("", request, reply -> {});
    }

    private Delivery deliveryOf(String from, Request request) {
        boolean report = request.path().equals("/v1/report");
        if (report && heartbeatsBlocked.contains(from)) {
            return Delivery.REFUSE;
        }
        if (unreachableMachines.contains(request.address())
                || (partitionFromStore.contains(from)
                        && request.address().equals(SimSettings.STORE_ADDRESS))) {
            return Delivery.DROP;
        }
        Delivery delivery = deliveryRule.deliveryOf(from, request);
        return delivery == Delivery.DELIVER && unreachableMachines.contains(from)
                ? Delivery.LOSE_RESPONSE
                : delivery;
    }

    void send(String from, Request request, Consumer<Reply> done) {
        Consumer<Reply> completeOnce = onlyOnce(done);
        Delivery delivery = deliveryOf(from, request);
        if (delivery == Delivery.REFUSE) {
            cluster.clock().after(DELAY_SECONDS, () -> completeOnce.accept(Reply.NOT_SENT));
            return;
        }
        cluster.clock().after(request.timeoutSeconds(), () -> completeOnce.accept(Reply.LOST));
        duplicateHeartbeat(from, request);
        duplicateCommand(request);
        double delaySeconds = DELAY_SECONDS + requestDelays.delaySeconds(from, request);
        switch (delivery) {
            case HOLD -> held.add(new HeldRequest(from, request));
            case LOSE_RESPONSE -> deliver(delaySeconds, from, request, reply -> {});
            case DELIVER ->
                    deliver(
                            delaySeconds,
                            from,
                            request,
                            reply -> respond(from, request, reply, completeOnce));
            default -> {}
        }
    }

    /** Whether the sender of a request is a worker or a user. */
    private static boolean hasLimitedLines(String from) {
        return !SimSettings.isControllerName(from);
    }

    private static Consumer<Reply> onlyOnce(Consumer<Reply> done) {
        boolean[] answered = new boolean[1];
        return reply -> {
            if (!answered[0]) {
                answered[0] = true;
                done.accept(reply);
            }
        };
    }

    private void duplicateHeartbeat(String from, Request request) {
        if (request.path().equals("/v1/report")
                && duplicatedHeartbeatShare > 0
                && random.nextDouble() < duplicatedHeartbeatShare) {
            cluster.clock()
                    .after(
                            2 + random.nextDouble() * (3 * SimSettings.LEASE_SECONDS - 2),
                            () -> cluster.route(from, request, reply -> {}));
        }
    }

    private void duplicateCommand(Request request) {
        if (request.path().equals("/orders") && isCommandCopied.test(request)) {
            cluster.clock()
                    .after(
                            random.nextDouble() * maxCommandCopyDelaySeconds,
                            () -> deliverCommandCopy(request));
        }
    }

    private void deliverCommandCopy(Request request) {
        if (commandCopyRule.test(request)) {
            deliverAgain(request);
        }
    }

    private void deliver(double delaySeconds, String from, Request request, Consumer<Reply> done) {
        cluster.clock().after(delaySeconds, () -> deliver(from, request, done));
    }

    /** Every server refuses a body that is longer than the protocol allows. */
    private void deliver(String from, Request request, Consumer<Reply> done) {
        if (request.body().length > MAX_BYTES) {
            refusedForSize++;
            done.accept(new Reply(MALFORMED, new byte[0]));
        } else {
            cluster.route(from, request, done);
        }
    }

    /** The number of requests and responses that were longer than the protocol allows. */
    public int refusedForSize() {
        return refusedForSize;
    }

    private void respond(String from, Request request, Reply reply, Consumer<Reply> done) {
        if (hasLimitedLines(from) && reply.body().length > MAX_BYTES) {
            // One line of JSON: nobody has to read it.
            refusedForSize++;
            return;
        }
        double delaySeconds = DELAY_SECONDS + responseDelays.delaySeconds(from, request);
        cluster.clock().after(delaySeconds, () -> done.accept(reply));
    }
}
