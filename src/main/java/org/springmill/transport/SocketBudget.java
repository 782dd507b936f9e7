package org.springmill.transport;

import io.undertow.client.ClientConnection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * Limits the connections of all pools of a client. At the limit, a new connection evicts the least
 * recently used idle one of any pool. While none is idle, pools wait in order of arrival.
 */
final class SocketBudget {
    private final int maxConnections;

    /** Idle connections that may be evicted, least recently used first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Pools that wait for a connection of another pool to become idle or to close. */
    private final Set<ConnectionPool> waitingPools = new LinkedHashSet<>();

    /** Connections that are open or being opened. */
    private int connections;

    SocketBudget(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Evicts an idle connection if the limit is reached; returns false if there is still no room.
     */
    boolean makeRoom() {
        if (connections < maxConnections) {
            return true;
        }
        Iterator<ClientConnection> candidates = idle.iterator();
        if (!candidates.hasNext()) {
            return false;
        }
        ClientConnection evicted = candidates.next();
        candidates.remove();
        // Closing it removes it from its pool, which releases its socket.
        IoUtils.safeClose(evicted);
        return connections < maxConnections;
    }

    /** Counts a connection that is about to be opened. */
    void acquire() {
        connections++;
    }

    /** Counts a connection that has been closed or could not be opened. */
    void release() {
        connections--;
    }

    /** Allows an idle connection to be evicted. */
    void addIdle(ClientConnection connection) {
        idle.add(connection);
    }

    /** Excludes a connection from eviction because it is in use or closed. */
    void removeIdle(ClientConnection connection) {
        idle.remove(connection);
    }

    /** Registers a pool that needs a connection while none can be opened. */
    void addWaiting(ConnectionPool pool) {
        waitingPools.add(pool);
    }

    /** Removes a pool that no longer needs a connection. */
    void removeWaiting(ConnectionPool pool) {
        waitingPools.remove(pool);
    }

    /** Lets waiting pools open connections while there is room, the longest waiting first. */
    void serveWaiting() {
        while (!waitingPools.isEmpty() && (connections < maxConnections || !idle.isEmpty())) {
            Iterator<ConnectionPool> candidates = waitingPools.iterator();
            ConnectionPool pool = candidates.next();
            candidates.remove();
            pool.dispatch();
        }
    }
}
