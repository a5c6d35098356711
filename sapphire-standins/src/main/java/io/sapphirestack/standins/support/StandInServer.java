package io.sapphirestack.standins.support;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jboss.logging.Logger;

/** HTTP server that uses one blocking thread per open connection. Thread-safe. */
public final class StandInServer implements Closeable {

    private static final Logger LOG = Logger.getLogger(StandInServer.class);
    // Larger than the burst of new connections that follows the failure of another endpoint.
    private static final int BACKLOG = 1_024;

    private final HttpServer server;
    private final String host;

    private StandInServer(HttpServer server, String host) {
        this.server = server;
        this.host = host;
    }

    /**
     * Starts a server.
     *
     * @param listen {@code host:port}; port 0 selects a free port
     * @param handler handles all requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static StandInServer start(String listen, HttpRequestHandler handler)
            throws IOException {
        int colon = listen.lastIndexOf(':');
        String host = listen.substring(0, colon);
        HttpServer server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getByName(host))
                        .setListenerPort(Integer.parseInt(listen.substring(colon + 1)))
                        .setSocketConfig(
                                SocketConfig.custom()
                                        .setBacklogSize(BACKLOG)
                                        .setSoTimeout(Timeout.ofMinutes(3))
                                        .setTcpNoDelay(true)
                                        .build())
                        .setRequestRouter((request, context) -> handler)
                        .setExceptionListener(new ConnectionFailureLogger())
                        .create();
        server.start();
        return new StandInServer(server, host);
    }

    /** Returns the bound address, {@code host:port}. */
    public String address() {
        return host + ":" + server.getLocalPort();
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }

    /** Logs failed connections, except those that the peer has closed or that have timed out. */
    private static final class ConnectionFailureLogger implements ExceptionListener {

        @Override
        public void onError(Exception e) {
            LOG.debug("failed to accept connections", e);
        }

        @Override
        public void onError(HttpConnection connection, Exception e) {
            if (!(e instanceof ConnectionClosedException
                    || e instanceof SocketTimeoutException
                    || e instanceof java.net.SocketException)) {
                LOG.warnf(e, "SAP4002 connection from %s failed", connection.getRemoteAddress());
            }
        }
    }
}
