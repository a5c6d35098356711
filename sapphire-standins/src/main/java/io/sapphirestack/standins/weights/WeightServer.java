package io.sapphirestack.standins.weights;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.StandInServer;
import java.io.Closeable;
import java.io.IOException;

/** Running stand-in of the weight store; also usable within a test. Thread-safe. */
public final class WeightServer implements Closeable {

    private final StandInServer server;

    private WeightServer(StandInServer server) {
        this.server = server;
    }

    /**
     * Starts a weight store.
     *
     * @param listen {@code host:port}; port 0 chooses a free one
     * @param bytesPerS rate limit over all fetches in bytes per second
     * @return the running store
     * @throws IOException if the address cannot be bound
     */
    public static WeightServer start(String listen, long bytesPerS) throws IOException {
        WeightHandler handler =
                new WeightHandler(new RateMeter(bytesPerS), MillisClock.monotonic());
        return new WeightServer(StandInServer.start(listen, handler));
    }

    /** Returns the address that clients connect to, {@code host:port}. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }
}
