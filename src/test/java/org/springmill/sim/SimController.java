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
 * networks. Once stopped it acts no more, whatever timers and responses are still to come.
 */
final class SimController implements EventLoop, HttpClient, PeerLink {
    private final int number;
    private final VirtualClock clock;
    private final SimNetwork network;
    private final SimPeerNetwork peerNetwork;
    private final Controller controller;
    private Listener listener;
    private final Queue<Runnable> missed = new ArrayDeque<>();
    private boolean stopped;
    private boolean frozen;

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

    /** Does nothing for some time, while its clock runs on; then all that came in, in order. */
    void pause(double seconds) {
        frozen = true;
        clock.after(seconds, this::resume);
    }

    private void resume() {
        frozen = false;
        while (!missed.isEmpty() && !stopped) {
            missed.poll().run();
        }
    }

    /** Runs what the process does on an event, now or once it does anything again. */
    private void act(Runnable action) {
        if (frozen) {
            missed.add(action);
        } else if (!stopped) {
            action.run();
        }
    }

    String name() {
        return SimSettings.controllerName(number);
    }

    /** Where peer messages go; null until the controller listens. */
    Listener listener() {
        return listener;
    }

    void handle(Request request, Consumer<Reply> done) {
        act(() -> controller.handle(new SimCall(request, done)));
    }

    @Override
    public double now() {
        return clock.now();
    }

    /** Off by as much as the settings allow, to either side. */
    @Override
    public double timeOfDay() {
        return clock.timeOfDay() + number - 1;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        return clock.after(seconds, () -> act(task));
    }

    @Override
    public void send(Request request, Consumer<Reply> done) {
        network.send(name(), request, reply -> act(() -> done.accept(reply)));
    }

    @Override
    public void send(String peer, byte[] message) {
        peerNetwork.send(this, peer, message);
    }

    @Override
    public void setListener(Listener taker) {
        listener =
                new Listener() {
                    @Override
                    public void onRecord(byte[] record) {
                        act(() -> taker.onRecord(record));
                    }

                    @Override
                    public void onConnectionRefused(String node) {
                        act(() -> taker.onConnectionRefused(node));
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
