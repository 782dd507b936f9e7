package org.springmill.transport;

import io.undertow.server.ServerConnection;
import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Limits the open connections of the HTTP server, and always accepts the next one: at the limit,
 * each new connection closes the oldest one that never sent a whole request, or else the least
 * recently used one. So a flood of idle connections or half-sent requests evicts itself rather than
 * workers and users, who send requests every few seconds.
 *
 * <p>Where more workers send heartbeats than may stay connected, the limit on established
 * connections applies first: the others are answered and asked to open a new connection the next
 * time. To a worker, an evicted connection would look like a failure of this controller, after
 * which it turns to another one.
 */
final class ConnectionLimit {
    /** One in so many connections is kept for newcomers. */
    private static final int NEWCOMER_FRACTION = 8;

    private final int maxConnections;
    private final int maxEstablished;

    /** Connections without a whole request yet, oldest first. */
    private final Map<SocketAddress, StreamConnection> unproven = new LinkedHashMap<>();

    /** Connections that may stay open after a request, least recently used first. */
    private final Map<SocketAddress, StreamConnection> established =
            new LinkedHashMap<>(64, 0.75f, true);

    /**
     * Limits connections to a number.
     *
     * @param maxConnections the most open connections
     */
    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
        this.maxEstablished = maxConnections - maxConnections / NEWCOMER_FRACTION;
    }

    /** Takes a new connection; at the limit it evicts another one. */
    void accept(StreamConnection connection) {
        if (isReached()) {
            unproven.values().removeIf(other -> !other.isOpen());
        }
        if (isReached()) {
            evictOne();
        }
        unproven.put(connection.getPeerAddress(), connection);
    }

    private boolean isReached() {
        return unproven.size() + established.size() >= maxConnections;
    }

    private void evictOne() {
        Iterator<StreamConnection> candidates =
                (unproven.isEmpty() ? established : unproven).values().iterator();
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
            // It stays among the unproven ones, in case its peer has died and never closes it.
            return false;
        }
        StreamConnection connection = unproven.remove(peer);
        if (connection == null) {
            return false;
        }
        established.put(peer, connection);
        server.addCloseListener(closed -> established.remove(peer, connection));
        return true;
    }
}
