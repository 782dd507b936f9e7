package org.springmill.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Carries requests with a delay and lets a test decide the fate of each. */
public final class SimNetwork {
    private static final double DELAY_S = 0.002;

    /** What becomes of a message. */
    public enum Fate {
        DELIVER,
        /** Never arrives; the sender hears nothing. */
        DROP,
        /** The connection cannot be made; the sender knows that nothing was sent. */
        REFUSE,
        /** Arrives and is executed, but its answer is lost. */
        LOSE_ANSWER,
        /** Kept back, and delivered when the test lets go, long after the sender has given up. */
        HOLD
    }

    /** Decides by sender, address and content. */
    public interface Judge {
        Fate judge(String from, Request request);
    }

    private final SimulatedCluster cluster;
    private final List<Held> held = new ArrayList<>();
    private final Set<String> deaf = new HashSet<>();
    private final Set<String> mute = new HashSet<>();
    private final Set<String> stateless = new HashSet<>();
    private Judge judge = (from, request) -> Fate.DELIVER;
    private Delays delays = (from, request) -> 0;
    private Delays answerDelays = (from, request) -> 0;
    private SplittableRandom random;
    private double lateReports;

    private record Held(String from, Request request) {}

    /** How much longer a message is on its way, in seconds. */
    public interface Delays {
        double delayS(String from, Request request);
    }

    SimNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void random(SplittableRandom source) {
        random = source;
    }

    public void judge(Judge by) {
        judge = by;
    }

    /** Holds up requests, to be carried out even if their sender has long given up. */
    public void delayRequests(Delays by) {
        delays = by;
    }

    /** Holds up answers; the sender may have given up by then. */
    public void delayAnswers(Delays by) {
        answerDelays = by;
    }

    /** The reports of a machine arrive; answers and direct commands to it are lost. */
    public void deafen(SimWorker machine) {
        deaf.add(machine.name());
        deaf.add(machine.address());
    }

    /** A machine reaches no controller, while direct commands reach it. */
    public void mute(SimWorker machine) {
        mute.add(machine.name());
    }

    public void heal(SimWorker machine) {
        mute.remove(machine.name());
        deaf.remove(machine.name());
        deaf.remove(machine.address());
    }

    /** Nothing gets through between a controller and the state service. */
    public void cutFromState(String node) {
        stateless.add(node);
    }

    /** Of that share of the reports a copy arrives again, from 2 s to three leases later. */
    public void lateReports(double share) {
        lateReports = share;
    }

    void calm() {
        judge = (from, request) -> Fate.DELIVER;
        delays = (from, request) -> 0;
        answerDelays = (from, request) -> 0;
        lateReports = 0;
        deaf.clear();
        mute.clear();
        stateless.clear();
    }

    public boolean holdsAny() {
        return !held.isEmpty();
    }

    /** Delivers everything that was held, to nobody's answer. */
    public void releaseHeld() {
        for (Held message : List.copyOf(held)) {
            cluster.route(message.from(), message.request(), reply -> {});
        }
        held.clear();
    }

    /** Delivers a copy of a request once more. */
    public void repeat(Request request) {
        cluster.route("", request, reply -> {});
    }

    private Fate fate(String from, Request request) {
        boolean report = request.path().equals("/v1/report");
        if (report && mute.contains(from)) {
            return Fate.REFUSE;
        }
        if (deaf.contains(request.address())
                || (stateless.contains(from) && request.address().equals("state:1"))) {
            return Fate.DROP;
        }
        Fate fate = judge.judge(from, request);
        return fate == Fate.DELIVER && deaf.contains(from) ? Fate.LOSE_ANSWER : fate;
    }

    void send(String from, Request request, Consumer<Reply> done) {
        boolean[] answered = new boolean[1];
        Consumer<Reply> once =
                reply -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        done.accept(reply);
                    }
                };
        Fate fate = fate(from, request);
        if (fate == Fate.REFUSE) {
            cluster.clock().after(DELAY_S, () -> once.accept(Reply.NOT_SENT));
            return;
        }
        cluster.clock().after(request.timeoutS(), () -> once.accept(Reply.LOST));
        if (request.path().equals("/v1/report")
                && lateReports > 0
                && random.nextDouble() < lateReports) {
            cluster.clock()
                    .after(
                            2 + random.nextDouble() * (3 * SimulatedCluster.LEASE_S - 2),
                            () -> cluster.route(from, request, reply -> {}));
        }
        double delayS = DELAY_S + delays.delayS(from, request);
        switch (fate) {
            case DROP -> {}
            case HOLD -> held.add(new Held(from, request));
            case LOSE_ANSWER ->
                    cluster.clock().after(delayS, () -> cluster.route(from, request, reply -> {}));
            default ->
                    cluster.clock()
                            .after(
                                    delayS,
                                    () ->
                                            cluster.route(
                                                    from,
                                                    request,
                                                    reply ->
                                                            cluster.clock()
                                                                    .after(
                                                                            DELAY_S
                                                                                    + answerDelays
                                                                                            .delayS(
                                                                                                    from,
                                                                                                    request),
                                                                            () ->
                                                                                    once.accept(
                                                                                            reply))));
        }
    }
}
