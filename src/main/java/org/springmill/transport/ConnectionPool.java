package org.springmill.transport;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;

/** The connections to one address, each with one request at a time, and the requests that wait. */
final class ConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);

    /** Limit of concurrent connection attempts while none of them hangs. */
    private static final int MAX_CONNECTING = 2;

    /** Pending attempts count as hanging if the latest one was started longer ago than this. */
    private static final double CONNECT_RETRY_SECONDS = 5.0;

    private static final OptionMap OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(UndertowOptions.ENABLE_HTTP2, false)
                    .getMap();

    private final String address;
    private final URI uri;
    private final int maxOpen;
    private final boolean countsAgainstBudget;
    private final SocketBudget budget;
    private final ClientContext context;
    private final Consumer<ConnectionPool> onUnused;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    private int open;
    private int connecting;
    private double lastConnectTime;

    /**
     * Creates a pool without connections.
     *
     * @param address host and port of the server
     * @param maxOpen the most connections of this pool
     * @param countsAgainstBudget whether its connections count against the budget of all pools
     * @param onUnused called when a connection closes after which the pool has neither connections
     *     nor waiting requests
     */
    ConnectionPool(
            String address,
            int maxOpen,
            boolean countsAgainstBudget,
            SocketBudget budget,
            ClientContext context,
            Consumer<ConnectionPool> onUnused) {
        this.address = address;
        this.uri = URI.create("http://" + address);
        this.maxOpen = maxOpen;
        this.countsAgainstBudget = countsAgainstBudget;
        this.budget = budget;
        this.context = context;
        this.onUnused = onUnused;
    }

    /** Sends a request on an idle connection, or as soon as there is one. */
    void submit(PendingRequest request) {
        waiting.add(request);
        dispatch();
    }

    /** Removes a request that has not been sent. */
    void cancel(PendingRequest request) {
        waiting.remove(request);
        if (waiting.isEmpty()) {
            budget.removeWaiting(this);
        }
    }

    /**
     * Sends waiting requests on idle connections. If more requests are left than connection
     * attempts are pending, opens one more connection within the limits of this pool, or waits for
     * one if the budget of all pools is used up.
     */
    void dispatch() {
        sendOnIdleConnections();
        if (!needsConnection()) {
            return;
        }
        if (!countsAgainstBudget || budget.makeRoom()) {
            connect();
        } else {
            budget.addWaiting(this);
        }
    }

    private void sendOnIdleConnections() {
        while (!waiting.isEmpty()) {
            ClientConnection connection = idle.poll();
            if (connection == null) {
                return;
            }
            budget.removeIdle(connection);
            if (connection.isOpen()) {
                waiting.poll().send(connection);
            }
        }
    }

    private boolean needsConnection() {
        boolean hanging =
                connecting > 0 && context.loop().now() - lastConnectTime > CONNECT_RETRY_SECONDS;
        return waiting.size() > connecting
                && open + connecting < maxOpen
                && (connecting < MAX_CONNECTING || hanging);
    }

    private void connect() {
        connecting++;
        if (countsAgainstBudget) {
            budget.acquire();
        }
        lastConnectTime = context.loop().now();
        UndertowClient.getInstance()
                .connect(
                        Callbacks.of(this::connected, this::connectFailed),
                        uri,
                        context.thread(),
                        context.buffers(),
                        OPTIONS);
    }

    private void connected(ClientConnection connection) {
        connecting--;
        open++;
        connection.getCloseSetter().set(channel -> closed(connection));
        if (connection.isOpen()) {
            addIdle(connection);
            dispatchAll();
        }
    }

    private void connectFailed(IOException e) {
        connecting--;
        releaseSocket();
        LOG.debug("connecting to {} failed: {}", address, e.getMessage());
        // Keeps the latest requests, one for each attempt that is still pending. The others fail,
        // and their callers decide whether to retry.
        while (waiting.size() > connecting) {
            waiting.poll().finish(HttpClient.Reply.NOT_SENT);
        }
    }

    private void closed(ClientConnection connection) {
        open--;
        idle.remove(connection);
        budget.removeIdle(connection);
        releaseSocket();
        if (open + connecting + waiting.size() == 0) {
            onUnused.accept(this);
        } else {
            dispatch();
        }
    }

    private void releaseSocket() {
        if (countsAgainstBudget) {
            budget.release();
        }
        budget.serveWaiting();
    }

    /** Makes a connection available that is new or whose request is complete. */
    void addIdle(ClientConnection connection) {
        idle.push(connection);
        if (countsAgainstBudget) {
            budget.addIdle(connection);
        }
    }

    /** Sends waiting requests after a connection became idle, those of this pool first. */
    void dispatchAll() {
        dispatch();
        budget.serveWaiting();
    }
}
