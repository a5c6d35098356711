package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.RestartingThread;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.http.TrackedServerSocket;
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
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.apache.hc.core5.http.config.Http1Config;

/** HTTP/1.1 server on one address that serves each connection with one thread. Thread-safe. */
public final class RelayListener implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(RelayListener.class);

    /** Time after which a blocked write to a caller closes its connection, in milliseconds. */
    private static final long WRITE_TIMEOUT_MS = 10_000;

    /**
     * Time for which a listener that closes waits for responses that are being sent, in
     * milliseconds.
     */
    private static final long RESPONSE_TIMEOUT_MS = 50;

    /** Time from the start of a drain to the closing of idle connections, in milliseconds. */
    static final long DRAIN_DELAY_MS = 300;

    private static final long TIMEOUT_CHECK_INTERVAL_MS = 1_000;
    private static final int BUFFER_BYTES = 4_096;

    private final TrackedServerSocket server;
    private final String name;
    private final HttpServerExchange.Handler handler;
    private final Supplier<CallerLimits> limits;
    private final ByteBudget memory;
    private final MillisClock clock;
    private final ThreadPoolExecutor workers;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final LongAdder memoryRefusals = new LongAdder();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final RestartingThread acceptor;
    private volatile ScheduledExecutorService scheduler;

    /**
     * Binds an address; no connection is accepted before {@link #start}.
     *
     * @param name prefix of thread names
     * @param address {@code host:port}; port 0 selects a free port
     * @param maxConnections maximum number of open connections; further connections are closed
     *     immediately
     * @param handler handles the requests, in several threads at once
     * @param limits returns the limits that apply to new connections
     * @param memory memory for the requests and responses of all listeners of this instance
     * @param clock monotonic clock
     * @throws ServiceException if the address cannot be bound
     */
    public RelayListener(
            String name,
            String address,
            int maxConnections,
            HttpServerExchange.Handler handler,
            Supplier<CallerLimits> limits,
            ByteBudget memory,
            MillisClock clock)
            throws ServiceException {
        this.name = Objects.requireNonNull(name, "name");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.memory = Objects.requireNonNull(memory, "memory");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.workers = WorkerPools.createRejecting(name, maxConnections);
        this.server = TrackedServerSocket.bind(address);
        this.acceptor =
                new RestartingThread(
                        name + "-accept", this::acceptConnections, RelayListener::logFailure);
    }

    /** Returns the bound address as {@code host:port}, with the actual port. */
    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns whether connections are accepted, unlike before the start or after a failure. */
    public boolean isAccepting() {
        return acceptor.isRunning();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Starts to accept connections.
     *
     * @param scheduler runs the periodic check for writes that have timed out
     */
    public void start(ScheduledExecutorService scheduler) {
        this.scheduler = scheduler;
        acceptor.start();
        scheduler.scheduleWithFixedDelay(
                this::checkConnections,
                TIMEOUT_CHECK_INTERVAL_MS,
                TIMEOUT_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void checkConnections() {
        connections.forEach(connection -> connection.closeIfWriteTimedOut(WRITE_TIMEOUT_MS));
        logMemoryRefusals();
    }

    /** Logs one line for all refusals of an interval, because a crowd causes very many. */
    private void logMemoryRefusals() {
        long refused = memoryRefusals.sumThenReset();
        if (refused > 0) {
            LOG.warn(
                    "SAP1940",
                    "Requests were refused before they ran because their heads or bodies found no"
                            + " memory",
                    "listener",
                    name,
                    "refused",
                    refused,
                    "intervalMs",
                    TIMEOUT_CHECK_INTERVAL_MS,
                    "reservedBytes",
                    memory.reservedBytes(),
                    "connections",
                    connections.size());
        }
    }

    /**
     * Closes each connection after its next response, and those that are still idle after {@value
     * #DRAIN_DELAY_MS} ms. Until then, the threads of the connections read the requests that were
     * sent before the drain began; closing at once could cut one off that was just read.
     */
    public void drain() {
        stopping.set(true);
        scheduler.schedule(this::closeIdle, DRAIN_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void closeIdle() {
        connections.forEach(CallerConnection::closeIfIdle);
    }

    private static void logFailure(Throwable failure, long restartInMs) {
        LOG.warn(
                "SAP1904",
                "Accepting a connection failed; the listener goes on after a delay",
                "cause",
                failure,
                "delayMs",
                restartInMs);
    }

    private void acceptConnections() throws IOException {
        Http1Config config =
                Http1Config.custom()
                        .setBufferSize(BUFFER_BYTES)
                        .setMaxLineLength(limits.get().headerBytes())
                        .build();
        while (!acceptor.isClosing()) {
            TrackedSocket socket = server.accept();
            try {
                serve(socket, config);
            } catch (IOException | RuntimeException | Error e) {
                socket.close();
                throw e;
            }
        }
    }

    private void serve(TrackedSocket socket, Http1Config config) throws IOException {
        CallerConnection[] holder = new CallerConnection[1];
        holder[0] =
                new CallerConnection(
                        socket,
                        config,
                        handler,
                        limits.get(),
                        stopping::get,
                        memory,
                        clock,
                        memoryRefusals::increment,
                        () -> connections.remove(holder[0]));
        connections.add(holder[0]);
        try {
            workers.execute(holder[0]);
        } catch (RejectedExecutionException e) {
            LOG.warn(
                    "SAP1905",
                    "A connection was closed because the limit of open connections is reached",
                    "open",
                    connections.size());
            connections.remove(holder[0]);
            holder[0].close();
        } catch (Error e) {
            connections.remove(holder[0]);
            throw e;
        }
    }

    @Override
    public void close() {
        acceptor.close();
        try {
            server.close();
        } catch (IOException e) {
            LOG.warn("SAP1906", "Closing the server socket failed", "cause", e);
        }
        stopping.set(true);
        closeIdle();
        WorkerPools.shutdown(workers, RESPONSE_TIMEOUT_MS);
        connections.forEach(CallerConnection::close);
        workers.shutdownNow();
    }
}
