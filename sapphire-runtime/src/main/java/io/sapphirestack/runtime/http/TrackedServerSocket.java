package io.sapphirestack.runtime.http;

import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.error.ServiceException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Server socket that accepts connections as {@link TrackedSocket}. */
public final class TrackedServerSocket extends ServerSocket {

    private static final int BACKLOG = 512;

    private TrackedServerSocket() throws IOException {
        super();
    }

    /**
     * Binds an address.
     *
     * @param address {@code host:port}; port 0 selects a free port
     * @return bound socket
     * @throws ServiceException if the address cannot be bound
     */
    public static TrackedServerSocket bind(String address) throws ServiceException {
        try {
            int colon = address.lastIndexOf(':');
            TrackedServerSocket socket = new TrackedServerSocket();
            socket.setReuseAddress(true);
            socket.bind(
                    new InetSocketAddress(
                            InetAddress.getByName(address.substring(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))),
                    BACKLOG);
            return socket;
        } catch (IOException | RuntimeException e) {
            throw new ServiceException("bind", address, "cannot listen: " + e.getMessage(), e);
        }
    }

    @Override
    public TrackedSocket accept() throws IOException {
        TrackedSocket socket = new TrackedSocket();
        implAccept(socket);
        return socket;
    }
}
