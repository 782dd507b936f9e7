package org.springmill.transport;

import io.undertow.server.ServerConnection;
import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Limits the open connections of the HTTP server without rejecting new ones: at the limit, each new
 * connection evicts the oldest one that never sent a whole request, or else the least recently used
 * one. A flood of idle connections or half-sent requests therefore evicts its own connections, not
 * those of workers and users, who send requests every few seconds.
 *
 * <p>If more workers send heartbeats than may stay connected, the limit on established connections
 * applies first: the requests of the others are answered with {@code Connection: close}, so that
 * they open a new connection the next time. A worker would take an evicted connection for a failure
 * of this controller and switch to another one.
 */
final class ConnectionLimit {
    /** 1/8 of the connections is reserved for new ones. */
    private static final int RESERVED_FRACTION = 8;

    private final int maxConnections;
    private final int maxEstablished;

    /** Connections without a whole request yet, oldest first. */
    private final Map<SocketAddress, StreamConnection> withoutRequest = new LinkedHashMap<>();

    /** Connections that may stay open after a request, least recently used first. */
    private final Map<SocketAddress, StreamConnection> established =
            new LinkedHashMap<>(64, 0.75f, true);

    /**
     * Creates a limit without connections.
     *
     * @param maxConnections the most open connections
     */
    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
        this.maxEstablished = maxConnections - maxConnections / RESERVED_FRACTION;
    }

    /** Registers a new connection; at the limit, evicts another one. */
    void accept(StreamConnection connection) {
        if (isReached()) {
            withoutRequest.values().removeIf(other -> !other.isOpen());
        }
        if (isReached()) {
            evictOne();
        }
        withoutRequest.put(connection.getPeerAddress(), connection);
    }

    private boolean isReached() {
        return withoutRequest.size() + established.size() >= maxConnections;
    }

    private void evictOne() {
        Iterator<StreamConnection> candidates =
                (withoutRequest.isEmpty() ? established : withoutRequest).values().iterator();
        IoUtils.safeClose(candidates.next());
        candidates.remove();
    }

    /**
     * Marks a connection as used by a whole request.
     *
     * @return whether it may stay open; otherwise it is to be closed after the response
     */
    boolean markUsed(ServerConnection server) {
        SocketAddress peer = server.getPeerAddress();
        // The look-up itself makes the connection the most recently used one.
        if (established.get(peer) != null) {
            return true;
        }
        if (established.size() >= maxEstablished) {
            // It can still be evicted, in case its peer has died and never closes it.
            return false;
        }
        StreamConnection connection = withoutRequest.remove(peer);
        if (connection == null) {
            return false;
        }
        established.put(peer, connection);
        server.addCloseListener(closed -> established.remove(peer, connection));
        return true;
    }
}
