package io.sapphirestack.standins.weights;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.StandInServer;
import java.io.Closeable;
import java.io.IOException;

/** Stand-in weight store with its HTTP server; can also be started inside a test. Thread-safe. */
public final class WeightServer implements Closeable {

    private final StandInServer server;

    private WeightServer(StandInServer server) {
        this.server = server;
    }

    /**
     * Starts a weight store.
     *
     * @param listen {@code host:port}; port 0 selects a free port
     * @param bytesPerS rate limit over all fetches in bytes per second, positive
     * @return the running store
     * @throws IOException if the address cannot be bound
     */
    public static WeightServer start(String listen, long bytesPerS) throws IOException {
        WeightHandler handler =
                new WeightHandler(new RateMeter(bytesPerS), MillisClock.monotonic());
        return new WeightServer(StandInServer.start(listen, handler));
    }

    /** Returns the bound address, {@code host:port}. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }
}
