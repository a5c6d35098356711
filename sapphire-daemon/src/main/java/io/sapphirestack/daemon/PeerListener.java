package io.sapphirestack.daemon;

import io.sapphirestack.runtime.transport.PeerEventLoop;
import io.sapphirestack.runtime.transport.PeerRequestDispatcher;
import io.sapphirestack.runtime.transport.TcpPeerServer;
import io.sapphirestack.runtime.transport.TransportException;
import java.io.Closeable;

/**
 * Bound peer address of an instance, before anything else of it exists. The voters of a test learn
 * each other's addresses from it.
 */
public final class PeerListener implements Closeable {

    private final PeerEventLoop loop;
    private final PeerRequestDispatcher handlers = new PeerRequestDispatcher();
    private final TcpPeerServer server;

    /**
     * Binds the address.
     *
     * @param name prefix of thread names
     * @param listenAddress {@code host:port}; port 0 chooses a free one
     * @param clusterKey key that all instances share
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

    /** Returns the address, with the port that was chosen. */
    public String address() {
        return server.address();
    }

    /** Returns the loop that serves the connections. */
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
