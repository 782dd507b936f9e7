package org.springmill.transport;

import java.net.InetSocketAddress;

/** Parses addresses in the format of the settings. */
final class Addresses {
    private Addresses() {}

    /** Parses "ip:port". */
    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
