package org.springmill.transport;

import io.undertow.server.ServerConnection;
import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Keeps a place free for whoever comes next: near the limit, each new connection costs the oldest
 * one that never made a whole request, or else the one unused for longest. So a flood of idle or
 * half-sent requests pushes out itself rather than workers and users, who speak every few seconds.
 *
 * <p>Where more workers report than there are places, well before that, those without a place get
 * their answer and are asked to come on a new connection the next time. Connections pushed out in
 * turn would each look like a failure of this controller to a worker, which goes to another one
 * then.
 */
final class Admission {
    private final int limit;
    private final int mostKept;
    private final Map<SocketAddress, StreamConnection> strangers = new LinkedHashMap<>();
    private final Map<SocketAddress, StreamConnection> known = new LinkedHashMap<>(64, 0.75f, true);

    Admission(int limit) {
        this.limit = limit;
        this.mostKept = limit - limit / 8;
    }

    void admit(StreamConnection connection) {
        if (strangers.size() + known.size() >= limit) {
            strangers.values().removeIf(c -> !c.isOpen());
        }
        if (strangers.size() + known.size() >= limit) {
            Iterator<StreamConnection> oldest =
                    (strangers.isEmpty() ? known : strangers).values().iterator();
            IoUtils.safeClose(oldest.next());
            oldest.remove();
        }
        strangers.put(connection.getPeerAddress(), connection);
    }

    /** A whole request came on this connection; false if it should be closed with the answer. */
    boolean used(ServerConnection from) {
        SocketAddress peer = from.getPeerAddress();
        if (known.get(peer) != null) {
            return true;
        }
        if (known.size() >= mostKept) {
            // It stays among the strangers, should its other end be gone and never close it.
            return false;
        }
        StreamConnection connection = strangers.remove(peer);
        if (connection == null) {
            return false;
        }
        known.put(peer, connection);
        from.addCloseListener(closed -> known.remove(peer, connection));
        return true;
    }
}
