package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.http.TrackedServerSocket;
import io.sapphirestack.runtime.http.TrackedSocket;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.hc.core5.http.config.Http1Config;

/** Accepts connections at one address and serves each with one thread. Thread-safe. */
public final class RelayListener implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(RelayListener.class);

    /** Longest time that one write to a caller may take, in milliseconds. */
    private static final long WRITE_LIMIT_MS = 10_000;

    private static final long SWEEP_MS = 1_000;
    private static final int BUFFER_BYTES = 4_096;
    private static final int MAX_HEADER_FIELDS = 100;

    private final TrackedServerSocket server;
    private final String name;
    private final Exchange.Handler handler;
    private final Supplier<CallerLimits> limits;
    private final MillisClock clock;
    private final ThreadPoolExecutor threads;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean closed;

    /**
     * Binds an address; nothing is accepted before {@link #start}.
     *
     * @param name prefix of thread names
     * @param address {@code host:port}; port 0 chooses a free one
     * @param maxConnections open connections; further ones are closed at once
     * @param handler serves the requests
     * @param limits returns the bounds for new connections
     * @param clock monotonic clock
     * @throws ServiceException if the address cannot be bound
     */
    public RelayListener(
            String name,
            String address,
            int maxConnections,
            Exchange.Handler handler,
            Supplier<CallerLimits> limits,
            MillisClock clock)
            throws ServiceException {
        this.name = Objects.requireNonNull(name, "name");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.threads = WorkerPools.createRejecting(name, maxConnections);
        this.server = TrackedServerSocket.bind(address);
    }

    /** Returns the address, with the port that was chosen. */
    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Starts to accept connections.
     *
     * @param scheduler runs the look for connections that are stuck
     */
    public void start(ScheduledExecutorService scheduler) {
        Thread acceptor = new Thread(this::accept, name + "-accept");
        acceptor.setDaemon(true);
        acceptor.start();
        scheduler.scheduleWithFixedDelay(
                () -> connections.forEach(c -> c.closeIfStuck(WRITE_LIMIT_MS)),
                SWEEP_MS,
                SWEEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Ends idle connections, and the others with their next answer. */
    public void drain() {
        stopping.set(true);
        connections.forEach(CallerConnection::closeIfIdle);
    }

    private void accept() {
        Http1Config config =
                Http1Config.custom()
                        .setBufferSize(BUFFER_BYTES)
                        .setMaxHeaderCount(MAX_HEADER_FIELDS)
                        .setMaxLineLength(limits.get().headerBytes())
                        .build();
        while (!closed) {
            try {
                accepted(server.accept(), config);
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("SAP1904", "A connection was not accepted", "cause", e);
                }
            }
        }
    }

    private void accepted(TrackedSocket socket, Http1Config config) throws IOException {
        CallerConnection[] created = new CallerConnection[1];
        created[0] =
                new CallerConnection(
                        socket,
                        config,
                        handler,
                        limits.get(),
                        stopping::get,
                        clock,
                        () -> connections.remove(created[0]));
        connections.add(created[0]);
        try {
            threads.execute(created[0]);
        } catch (RejectedExecutionException e) {
            LOG.warn("SAP1905", "A connection is over the limit", "open", connections.size());
            connections.remove(created[0]);
            created[0].close();
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            LOG.warn("SAP1906", "A listener was not closed", "cause", e);
        }
        connections.forEach(CallerConnection::close);
        threads.shutdownNow();
    }
}
