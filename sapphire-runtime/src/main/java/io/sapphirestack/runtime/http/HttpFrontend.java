package io.sapphirestack.runtime.http;

import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.Closeable;
import java.io.IOException;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;

/**
 * HTTP server of one instance for callers, endpoints and operators. Thread-safe.
 *
 * <p>Each connection has a thread of its own. Streams, reads and orders are bounded separately, and
 * streams below the number of connections, so that no kind of work waits behind another.
 */
public final class HttpFrontend implements Closeable {

    static final String CONNECTION = "sapphire.connection";

    private static final EventLog LOG = EventLog.of(HttpFrontend.class);

    // A caller that reads nothing for this long is cut off; it can continue by the generation's id.
    private static final long STUCK_WRITE_LIMIT_MS = 30_000;
    private static final long SWEEP_MS = 1_000;

    // Buffers of a connection live as long as it does, so 1,024 idle callers hold 4 MB.
    private static final int BUFFER_BYTES = 2 * 1024;

    private final HttpSettings settings;
    private final TrackedServerSocket server;
    private final HttpService service;
    private final Http1Config config;
    private final ThreadPoolExecutor connectionThreads;
    private final ThreadPoolExecutor fetchThreads;
    private final ScheduledExecutorService sweeper;
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private final Thread acceptor;
    private final RequestDispatcher dispatcher;
    private volatile boolean closed;

    /**
     * Binds the address; requests are served after {@link #start()}.
     *
     * @param settings address and limits
     * @param services what the handlers call
     * @throws ServiceException if the address cannot be bound
     */
    public HttpFrontend(HttpSettings settings, FrontendServices services) throws ServiceException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.server = TrackedServerSocket.bind(settings.listenAddress());
        this.connectionThreads = WorkerPools.createQueueing("http", settings.maxConnections());
        this.fetchThreads = WorkerPools.createQueueing("http-fetch", settings.maxStreams());
        this.sweeper =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "http-sweeper");
                            thread.setDaemon(true);
                            return thread;
                        });
        this.config =
                Http1Config.custom()
                        .setBufferSize(BUFFER_BYTES)
                        .setChunkSizeHint(BUFFER_BYTES)
                        .setMaxLineLength(HttpSettings.MAX_HEADER_BYTES)
                        .setMaxHeaderCount(100)
                        .build();
        Semaphore streams = new Semaphore(settings.maxStreams());
        this.dispatcher =
                new RequestDispatcher(
                        routes(settings, services, streams), services, settings.maxBodyBytes());
        this.service =
                new ProblemHttpService(
                        HttpProcessors.server("sapphirestack"),
                        // Clients that send Expect: 100-continue hold the body back for seconds
                        // unless they are told to go on.
                        new BasicHttpServerExpectationDecorator(dispatcher),
                        config,
                        DefaultConnectionReuseStrategy.INSTANCE);
        this.acceptor = new Thread(this::accept, "http-accept");
        acceptor.setDaemon(true);
        services.metrics()
                .registerGauge("sapphire_http_connections", "Open connections.", connections::size);
        services.metrics()
                .registerGauge(
                        "sapphire_http_streams",
                        "Requests that deliver or wait for generations.",
                        () -> settings.maxStreams() - streams.availablePermits());
    }

    private RouteTable routes(HttpSettings settings, FrontendServices services, Semaphore streams) {
        Authenticator authenticator =
                new Authenticator(
                        services.blackboard(),
                        services.specs(),
                        services.bootstrapOperatorKeyHash());
        AdmissionGate gate = new AdmissionGate(services.blackboard(), services.clock());
        ControlCalls control = new ControlCalls(services.control());
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

    /** Starts to accept connections. */
    public void start() {
        acceptor.start();
        sweeper.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        LOG.info("SAP1201", "HTTP interface is listening", "address", address());
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Ends each connection after its current request; idle connections are closed at once. */
    public void drain() {
        dispatcher.closeConnectionsAfterRequests(true);
        connections.forEach(HttpConnection::closeIfIdle);
    }

    /** Keeps connections open again after {@link #drain()}, when a planned stop was withdrawn. */
    public void resume() {
        dispatcher.closeConnectionsAfterRequests(false);
    }

    private void accept() {
        while (!closed) {
            try {
                TrackedSocket socket = server.accept();
                if (connections.size() >= settings.maxConnections()) {
                    socket.close();
                    LOG.warn("SAP1202", "Too many connections", "open", connections.size());
                } else {
                    serve(socket);
                }
            } catch (IOException | RuntimeException e) {
                if (!closed) {
                    LOG.warn("SAP1203", "A connection could not be accepted", "reason", e);
                }
            }
        }
    }

    private void serve(TrackedSocket socket) throws IOException {
        HttpConnection[] self = new HttpConnection[1];
        HttpConnection connection =
                new HttpConnection(service, config, socket, () -> connections.remove(self[0]));
        self[0] = connection;
        connections.add(connection);
        connectionThreads.execute(connection);
    }

    private void sweep() {
        connections.forEach(connection -> connection.closeIfStuck(STUCK_WRITE_LIMIT_MS));
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            LOG.warn("SAP1204", "The listening socket could not be closed", "reason", e);
        }
        connections.forEach(HttpConnection::close);
        connectionThreads.shutdownNow();
        fetchThreads.shutdownNow();
        sweeper.shutdownNow();
    }
}
