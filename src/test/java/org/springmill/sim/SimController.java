package org.springmill.sim;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.control.controller.Controller;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.PeerLink;

/**
 * The process of one controller: the real {@link Controller} on the virtual clock and the simulated
 * networks. Timers and responses that are due after {@link #stop} are ignored.
 */
final class SimController implements EventLoop, HttpClient, PeerLink {
    private final int number;
    private final VirtualClock clock;
    private final SimNetwork network;
    private final SimPeerNetwork peerNetwork;
    private final Controller controller;
    private Listener listener;
    private final Queue<Runnable> deferredEvents = new ArrayDeque<>();
    private boolean stopped;
    private boolean paused;

    SimController(
            int number,
            Settings settings,
            long seed,
            double heapBytes,
            VirtualClock clock,
            SimNetwork network,
            SimPeerNetwork peerNetwork) {
        this.number = number;
        this.clock = clock;
        this.network = network;
        this.peerNetwork = peerNetwork;
        controller =
                new Controller(settings, this, this, this, new SplittableRandom(seed), heapBytes);
        controller.start();
    }

    void stop() {
        stopped = true;
    }

    /**
     * Suspends the process for {@code seconds} while its clock continues. Events that occur
     * meanwhile are then processed in order.
     */
    void pause(double seconds) {
        paused = true;
        clock.after(seconds, this::resume);
    }

    private void resume() {
        paused = false;
        while (!deferredEvents.isEmpty() && !stopped) {
            deferredEvents.poll().run();
        }
    }

    /** Processes an event now, or when the process resumes if it is paused. */
    private void runOrDefer(Runnable action) {
        if (paused) {
            deferredEvents.add(action);
        } else if (!stopped) {
            action.run();
        }
    }

    String name() {
        return SimSettings.controllerName(number);
    }

    /** The receiver of peer messages; null until the controller has set it. */
    Listener listener() {
        return listener;
    }

    void handle(Request request, Consumer<Reply> done) {
        runOrDefer(() -> controller.handle(new SimCall(request, done)));
    }

    @Override
    public double now() {
        return clock.now();
    }

    /** Controllers 0 and 2 are 1 s slow and 1 s fast, the largest skew that the settings allow. */
    @Override
    public double timeOfDay() {
        return clock.timeOfDay() + number - 1;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        return clock.after(seconds, () -> runOrDefer(task));
    }

    @Override
    public void send(Request request, Consumer<Reply> done) {
        network.send(name(), request, reply -> runOrDefer(() -> done.accept(reply)));
    }

    @Override
    public void send(String peer, byte[] message) {
        peerNetwork.send(this, peer, message);
    }

    @Override
    public void setListener(Listener receiver) {
        listener =
                new Listener() {
                    @Override
                    public void onRecord(byte[] record) {
                        runOrDefer(() -> receiver.onRecord(record));
                    }

                    @Override
                    public void onConnectionRefused(String node) {
                        runOrDefer(() -> receiver.onConnectionRefused(node));
                    }
                };
    }

    /** A request that the simulated network delivers, and where its response goes. */
    private record SimCall(Request request, Consumer<Reply> done) implements HttpHandler.Call {
        @Override
        public String method() {
            return request.method();
        }

        @Override
        public String path() {
            return request.path();
        }

        @Override
        public byte[] body() {
            return request.body();
        }

        @Override
        public void reply(int status, byte[] body, int retryAfterSeconds) {
            done.accept(new Reply(status, body, retryAfterSeconds));
        }
    }
}
