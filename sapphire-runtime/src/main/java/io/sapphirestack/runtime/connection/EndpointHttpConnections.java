package io.sapphirestack.runtime.connection;

import io.sapphirestack.http.StrictClientConnection;
import org.apache.hc.core5.http.config.Http1Config;

/** Creates the HTTP/1.1 connections to endpoints. */
public final class EndpointHttpConnections {

    private EndpointHttpConnections() {}

    /**
     * Creates a connection that is not bound to a socket yet. It sends the octets of heads
     * unchanged, see {@link HeadCharset}, and accepts only responses that follow the grammar.
     *
     * @param config limits of the heads
     * @return connection
     */
    public static StrictClientConnection create(Http1Config config) {
        return new StrictClientConnection(config, HeadCharset.encoder());
    }
}
