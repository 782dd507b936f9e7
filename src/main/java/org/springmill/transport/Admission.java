package org.springmill.transport;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Keeps a place free for whoever comes next: near the limit, each new connection costs the oldest one that never made
 * a whole request, or else the one unused for longest. So a flood of idle or half-sent requests pushes out itself
 * rather than workers and users, who speak every few seconds.
 */
final class Admission {
    private final int limit;
    private final Map<SocketAddress, StreamConnection> strangers = new LinkedHashMap<>();
    private final Map<SocketAddress, StreamConnection> known = new LinkedHashMap<>(64, 0.75f, true);

    Admission(int limit) {
        this.limit = limit;
    }

    void admit(StreamConnection connection) {
        if (strangers.size() + known.size() >= limit) {
            strangers.values().removeIf(c -> !c.isOpen());
            known.values().removeIf(c -> !c.isOpen());
        }
        if (strangers.size() + known.size() >= limit) {
            Iterator<StreamConnection> oldest = (strangers.isEmpty() ? known : strangers).values().iterator();
            IoUtils.safeClose(oldest.next());
            oldest.remove();
        }
        strangers.put(connection.getPeerAddress(), connection);
    }

    /** A whole request came on this connection. */
    void used(SocketAddress peer) {
        StreamConnection connection = strangers.remove(peer);
        if (connection != null) {
            known.put(peer, connection);
        } else {
            known.get(peer);
        }
    }
}
