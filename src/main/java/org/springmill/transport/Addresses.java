package org.springmill.transport;

import java.net.InetSocketAddress;

final class Addresses {
    private Addresses() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
