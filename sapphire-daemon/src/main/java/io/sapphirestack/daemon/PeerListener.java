package io.sapphirestack.daemon;

import io.sapphirestack.runtime.transport.PeerEventLoop;
import io.sapphirestack.runtime.transport.PeerRequestDispatcher;
import io.sapphirestack.runtime.transport.TcpPeerServer;
import io.sapphirestack.runtime.transport.TransportException;
import java.io.Closeable;

/**
 * Server socket of an instance for other instances. It is bound before the other components are
 * created, so that tests can choose free ports and then configure the voters with the addresses.
 */
public final class PeerListener implements Closeable {

    private final PeerEventLoop loop;
    private final PeerRequestDispatcher handlers = new PeerRequestDispatcher();
    private final TcpPeerServer server;

    /**
     * Binds the address; connections are accepted after {@link #start()}.
     *
     * @param name prefix of thread names
     * @param listenAddress {@code host:port}; port 0 selects a free port
     * @param clusterKey secret that all instances of the cluster share
     * @throws TransportException if the address cannot be bound
     */
    public PeerListener(String name, String listenAddress, String clusterKey)
            throws TransportException {
        this.loop = new PeerEventLoop(name);
        try {
            this.server = new TcpPeerServer(loop, listenAddress, clusterKey, handlers);
        } catch (TransportException e) {
            loop.close();
            throw e;
        }
    }

    /** Returns the {@code host:port} that is bound, with the selected port. */
    public String address() {
        return server.address();
    }

    /** Returns the event loop that serves the connections. */
    public PeerEventLoop loop() {
        return loop;
    }

    /** Returns the registry of request handlers. */
    public PeerRequestDispatcher handlers() {
        return handlers;
    }

    /** Starts to accept connections of other instances. */
    public void start() {
        server.start();
    }

    @Override
    public void close() {
        server.close();
        loop.close();
    }
}
