package org.springmill.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds loopback ports that no socket listens on. */
final class FreePorts {
    private FreePorts() {}

    static int next() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
