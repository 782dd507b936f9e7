package org.springmill.transport;

import java.net.InetSocketAddress;

/** Addresses as the settings write them. */
final class Addresses {
    private Addresses() {}

    /** Reads "ip:port". */
    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
