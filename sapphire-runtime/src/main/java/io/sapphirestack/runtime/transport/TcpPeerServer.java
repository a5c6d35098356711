package io.sapphirestack.runtime.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Objects;

/** Accepts connections of other instances and handles their requests. Thread-safe. */
public final class TcpPeerServer implements Closeable {

    // Allows one connection from each instance of the largest planned fleet, and spare ones for
    // reconnects.
    private static final int MAX_CONNECTIONS = 1_024;

    private final PeerEventLoop loop;
    private final PeerHandshake handshake;
    private final PeerRequestDispatcher handlers;
    private final ServerSocketChannel server;
    private int openConnections;

    /**
     * Binds the address. Connections are accepted after {@link #start()}.
     *
     * @param loop event loop of all peer connections
     * @param listenAddress {@code host:port}; port 0 selects a free port
     * @param clusterKey key that all instances share
     * @param handlers handlers of the requests
     * @throws TransportException if the address cannot be bound
     */
    public TcpPeerServer(
            PeerEventLoop loop,
            String listenAddress,
            String clusterKey,
            PeerRequestDispatcher handlers)
            throws TransportException {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.handshake = new PeerHandshake(clusterKey);
        this.handlers = Objects.requireNonNull(handlers, "handlers");
        try {
            this.server = ServerSocketChannel.open();
            server.bind(PeerAddresses.parse(listenAddress));
        } catch (IOException e) {
            throw new TransportException(
                    "bind",
                    listenAddress,
                    "cannot listen on this address: " + e.getMessage(),
                    false,
                    e);
        }
    }

    /**
     * Returns the address that the server listens on, as {@code host:port} with the actual port.
     */
    public String address() {
        try {
            InetSocketAddress local = (InetSocketAddress) server.getLocalAddress();
            return local.getAddress().getHostAddress() + ":" + local.getPort();
        } catch (IOException e) {
            throw new IllegalStateException("the server is closed", e);
        }
    }

    /** Starts to accept connections. */
    public void start() {
        loop.execute(
                () -> {
                    try {
                        loop.register(server, SelectionKey.OP_ACCEPT, new Acceptor());
                    } catch (IOException e) {
                        throw new IllegalStateException("cannot register the listening socket", e);
                    }
                });
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException("cannot close the listening socket", e);
        }
    }

    private final class Acceptor implements PeerEventLoop.ChannelEventHandler {

        @Override
        public void onReady(SelectionKey key) throws IOException {
            SocketChannel socket = server.accept();
            if (socket == null) {
                return;
            }
            if (openConnections >= MAX_CONNECTIONS) {
                socket.close();
                return;
            }
            openConnections++;
            InboundChannel.accept(loop, socket, handshake, handlers, () -> openConnections--);
        }

        @Override
        public void onFailure(Exception cause) {
            // A failed accept affects one connection only; the socket continues to listen.
        }
    }
}
