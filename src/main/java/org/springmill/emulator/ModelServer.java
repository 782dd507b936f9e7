package org.springmill.emulator;

import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler;

/**
 * Emulates the model server of one replica: it loads for some time, then answers requests one after
 * the other at a fixed rate. It refuses requests while it is loading or its queue is full.
 */
final class ModelServer implements HttpHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final double secondsPerRequest;
    private final double longestQueueSeconds;
    private double loadedAt;
    private double busyUntil;
    private boolean stopped;

    ModelServer(EventLoop loop, Scenario.Serving serving) {
        this.loop = loop;
        secondsPerRequest = 1 / serving.requestsPerSecond();
        longestQueueSeconds = serving.queue() * secondsPerRequest;
        loadedAt = loop.now() + serving.loadSeconds();
    }

    /** From now on all requests are refused, including those in the queue. */
    void stop() {
        stopped = true;
    }

    @Override
    public void handle(Call call) {
        double now = loop.now();
        double begin = Math.max(now, busyUntil);
        boolean refused = stopped || now < loadedAt || begin - now > longestQueueSeconds;
        if (refused) {
            call.reply(UNAVAILABLE, EMPTY, 0);
            return;
        }
        busyUntil = begin + secondsPerRequest;
        loop.after(busyUntil - now, () -> call.reply(stopped ? UNAVAILABLE : OK, EMPTY, 0));
    }
}
