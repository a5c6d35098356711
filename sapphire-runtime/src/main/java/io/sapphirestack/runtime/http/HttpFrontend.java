package io.sapphirestack.runtime.http;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.concurrent.RestartingThread;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.Closeable;
import java.io.IOException;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;

/**
 * HTTP server of one instance for callers, endpoints and operators. Thread-safe.
 *
 * <p>Each connection has its own thread. Streams, reads and orders have separate limits, and the
 * limit of streams is below the limit of connections, so that one kind of request does not block
 * another.
 */
public final class HttpFrontend implements Closeable {

    private static final EventLog LOG = EventLog.of(HttpFrontend.class);

    // The connection of a caller that reads nothing for this long is closed. The caller can resume
    // its generation by the identifier.
    private static final long WRITE_TIMEOUT_MS = 10_000;
    private static final long SWEEP_INTERVAL_MS = 1_000;

    // Each connection keeps its buffers until it is closed, so 1,024 idle connections hold 4 MB.
    private static final int BUFFER_BYTES = 2 * 1024;

    private final HttpSettings settings;
    private final ByteBudget memory;
    private final MillisClock clock = MillisClock.monotonic();
    private final LongAdder memoryRefusals = new LongAdder();
    private final TrackedServerSocket server;
    private final HttpService service;
    private final Http1Config config;
    private final ThreadPoolExecutor connectionThreads;
    private final ThreadPoolExecutor fetchThreads;
    private final ScheduledExecutorService sweeper;
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private final RestartingThread acceptor;
    private final RequestDispatcher dispatcher;

    /**
     * Binds the address. Connections are accepted after {@link #start()}.
     *
     * @param settings address and limits
     * @param services services that the request handlers call
     * @throws ServiceException if the address cannot be bound
     */
    public HttpFrontend(HttpSettings settings, FrontendServices services) throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.memory = services.memory();
        this.server = TrackedServerSocket.bind(settings.listenAddress());
        this.connectionThreads = WorkerPools.createQueueing("http", settings.maxConnections());
        this.fetchThreads = WorkerPools.createQueueing("http-fetch", settings.maxStreams());
        this.sweeper = DaemonThreads.scheduler("http-sweeper", 1);
        this.config =
                Http1Config.custom()
                        .setBufferSize(BUFFER_BYTES)
                        .setChunkSizeHint(BUFFER_BYTES)
                        .setMaxLineLength(HttpSettings.MAX_HEADER_BYTES)
                        .build();
        Semaphore streams = new Semaphore(settings.maxStreams());
        this.dispatcher =
                new RequestDispatcher(
                        createRoutes(settings, services, streams),
                        services,
                        settings.maxBodyBytes());
        this.service =
                new ProblemDetailsHttpService(
                        HttpProcessors.server("sapphirestack"),
                        // Sends 100 Continue, because callers that send Expect: 100-continue
                        // otherwise wait for seconds before they send the body.
                        new BasicHttpServerExpectationDecorator(dispatcher),
                        config,
                        DefaultConnectionReuseStrategy.INSTANCE);
        this.acceptor =
                new RestartingThread(
                        "http-accept", this::acceptConnections, HttpFrontend::logFailure);
        services.metrics()
                .registerGauge("sapphire_http_connections", "Open connections.", connections::size);
        services.metrics()
                .registerGauge(
                        "sapphire_http_streams",
                        "Requests that deliver or wait for generations.",
                        () -> settings.maxStreams() - streams.availablePermits());
    }

    private RouteTable createRoutes(
            HttpSettings settings, FrontendServices services, Semaphore streams) {
        Authenticator authenticator =
                new Authenticator(
                        services.blackboard(),
                        services.specs(),
                        services.bootstrapOperatorKeyHash());
        AdmissionGate gate = new AdmissionGate(services.blackboard(), services.clock());
        BlockingControlClient control = new BlockingControlClient(services.control());
        RouteTable routes = new RouteTable();
        new GenerationHandlers(services, authenticator, gate, streams, fetchThreads).addTo(routes);
        new ServiceHandlers(services, authenticator, gate, settings).addTo(routes);
        new StatusHandlers(services, gate).addTo(routes);
        new RecordHandlers(services, authenticator, gate, control).addTo(routes);
        new FleetHandlers(services, authenticator, control).addTo(routes);
        return routes;
    }

    /** Returns the address that the server listens on, as {@code host:port}. */
    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Starts accepting connections. */
    public void start() {
        acceptor.start();
        sweeper.scheduleAtFixedRate(
                this::closeStalledConnections,
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        LOG.info("SAP1201", "HTTP interface is listening", "address", address());
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of requests in flight. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /**
     * Closes idle connections immediately and the others after their current request. New
     * connections are still accepted and closed after one request.
     */
    public void drain() {
        dispatcher.closeConnectionsAfterRequests(true);
        connections.forEach(HttpConnection::closeIfIdle);
    }

    /**
     * Reverts {@link #drain()} when a planned stop is withdrawn: connections are kept alive again.
     */
    public void resume() {
        dispatcher.closeConnectionsAfterRequests(false);
    }

    private static void logFailure(Throwable failure, long restartInMs) {
        LOG.warn(
                "SAP1203",
                "Could not accept a connection; the listener goes on after a delay",
                "reason",
                failure,
                "delayMs",
                restartInMs);
    }

    private void acceptConnections() throws IOException {
        while (!acceptor.isClosing()) {
            TrackedSocket socket = server.accept();
            if (connections.size() >= settings.maxConnections()) {
                socket.close();
                LOG.warn(
                        "SAP1202",
                        "Connection limit reached; closing the new connection",
                        "open",
                        connections.size());
            } else {
                serve(socket);
            }
        }
    }

    private void serve(TrackedSocket socket) throws IOException {
        HttpConnection[] connectionRef = new HttpConnection[1];
        try {
            connectionRef[0] =
                    new HttpConnection(
                            service,
                            config,
                            socket,
                            memory,
                            clock,
                            memoryRefusals::increment,
                            () -> connections.remove(connectionRef[0]));
            connections.add(connectionRef[0]);
            connectionThreads.execute(connectionRef[0]);
        } catch (IOException | RuntimeException | Error e) {
            if (connectionRef[0] != null) {
                connections.remove(connectionRef[0]);
            }
            socket.close();
            throw e;
        }
    }

    private void closeStalledConnections() {
        connections.forEach(connection -> connection.closeIfWriteStalled(WRITE_TIMEOUT_MS));
        logMemoryRefusals();
    }

    /** Logs one line for all refusals of an interval, because a crowd causes very many. */
    private void logMemoryRefusals() {
        long refused = memoryRefusals.sumThenReset();
        if (refused > 0) {
            LOG.warn(
                    "SAP1943",
                    "Requests to the HTTP interface were refused because their heads found no"
                            + " memory",
                    "refused",
                    refused,
                    "intervalMs",
                    SWEEP_INTERVAL_MS,
                    "reservedBytes",
                    memory.reservedBytes(),
                    "connections",
                    connections.size());
        }
    }

    @Override
    public void close() {
        acceptor.close();
        try {
            server.close();
        } catch (IOException e) {
            LOG.warn("SAP1204", "Could not close the listening socket", "reason", e);
        }
        connections.forEach(HttpConnection::close);
        connectionThreads.shutdownNow();
        fetchThreads.shutdownNow();
        sweeper.shutdownNow();
    }
}
