package org.springmill.sim;

import java.util.ArrayList;
import java.util.List;
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

    private final World world;
    private final List<Request> held = new ArrayList<>();
    private Judge judge = (from, request) -> Fate.DELIVER;

    SimNetwork(World world) {
        this.world = world;
    }

    public void judge(Judge by) {
        judge = by;
    }

    public List<Request> held() {
        return held;
    }

    /** Delivers everything that was held, to nobody's answer. */
    public void releaseHeld() {
        for (Request request : List.copyOf(held)) {
            world.route(request, reply -> { });
        }
        held.clear();
    }

    /** Delivers a copy of a request once more. */
    public void repeat(Request request) {
        world.route(request, reply -> { });
    }

    void send(String from, Request request, Consumer<Reply> done) {
        boolean[] answered = new boolean[1];
        Consumer<Reply> once = reply -> {
            if (!answered[0]) {
                answered[0] = true;
                done.accept(reply);
            }
        };
        Fate fate = judge.judge(from, request);
        if (fate == Fate.REFUSE) {
            world.clock().after(DELAY_S, () -> once.accept(Reply.NOT_SENT));
            return;
        }
        world.clock().after(request.timeoutS(), () -> once.accept(Reply.LOST));
        switch (fate) {
            case DROP -> { }
            case HOLD -> held.add(request);
            case LOSE_ANSWER -> world.clock().after(DELAY_S, () -> world.route(request, reply -> { }));
            default -> world.clock().after(DELAY_S, () -> world.route(request,
                    reply -> world.clock().after(DELAY_S, () -> once.accept(reply))));
        }
    }
}
