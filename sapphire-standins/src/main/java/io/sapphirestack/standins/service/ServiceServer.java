package io.sapphirestack.standins.service;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.StandInServer;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Stand-in plain service with its HTTP server; can also be started inside a test. Thread-safe. */
public final class ServiceServer implements Closeable {

    private static final int REPORTED_SLOTS = 64;

    private final ServiceFaults faults = new ServiceFaults();
    private final ServiceHandler handler;
    private final StandInServer server;
    private final long epochMs = MillisClock.wall().nowMs();

    private ServiceServer(String listen, boolean lookUp) throws IOException {
        this.handler = new ServiceHandler(faults, lookUp);
        this.server = StandInServer.start(listen, handler);
    }

    /**
     * Starts a plain service.
     *
     * @param listen {@code host:port}; port 0 selects a free port
     * @param lookUp whether callers can look up the outcomes of orders
     * @return the running service
     * @throws IOException if the address cannot be bound
     */
    public static ServiceServer start(String listen, boolean lookUp) throws IOException {
        return new ServiceServer(listen, lookUp);
    }

    /** Returns the bound address, {@code host:port}. */
    public String address() {
        return server.address();
    }

    /**
     * Returns the content of a read. It depends on the path and query only.
     *
     * @param pathAndQuery path below {@code /read/} with its query
     * @return content of the response
     */
    public static Map<String, Object> expectedReadContent(String pathAndQuery) {
        return ServiceHandler.readContent(pathAndQuery);
    }

    ServiceFaults faults() {
        return faults;
    }

    /**
     * Creates an announcement of the current state.
     *
     * @param id name of the endpoint
     * @param service service that the endpoint belongs to
     * @param availabilityZone availability zone
     * @param sequence sequence number of the announcement
     * @return the announcement
     */
    public EndpointAnnouncement announcement(
            String id, String service, String availabilityZone, long sequence) {
        return new EndpointAnnouncement(
                EndpointId.of(id),
                service,
                address(),
                availabilityZone,
                epochMs,
                sequence,
                List.of(),
                new EndpointLoad(handler.activeRequests(), 0, REPORTED_SLOTS, 0),
                List.of(),
                0,
                EndpointPhase.SERVING,
                "");
    }

    @Override
    public void close() {
        server.close();
    }
}
