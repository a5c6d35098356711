package io.sapphirestack.runtime.transport;

import java.net.InetSocketAddress;

/** Parses peer addresses of the form {@code host:port}. */
final class PeerAddresses {

    private PeerAddresses() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected host:port but got " + address);
        }
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
