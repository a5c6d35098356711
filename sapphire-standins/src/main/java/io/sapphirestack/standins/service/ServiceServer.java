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

/** Running stand-in of a plain service; also usable within a test. Thread-safe. */
public final class ServiceServer implements Closeable {

    private static final int SLOTS = 64;

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
     * @param listen {@code host:port}; port 0 chooses a free one
     * @param lookUp whether outcomes can be looked up
     * @return the running service
     * @throws IOException if the address cannot be bound
     */
    public static ServiceServer start(String listen, boolean lookUp) throws IOException {
        return new ServiceServer(listen, lookUp);
    }

    /** Returns the address that clients connect to, {@code host:port}. */
    public String address() {
        return server.address();
    }

    /**
     * Returns the content of a read, a fixed function of its path.
     *
     * @param pathAndQuery path below {@code /read/} with its query
     * @return content
     */
    public static Map<String, Object> expectedRead(String pathAndQuery) {
        return ServiceHandler.read(pathAndQuery);
    }

    ServiceFaults faults() {
        return faults;
    }

    /**
     * Describes the service as it announces itself.
     *
     * @param id name of the endpoint
     * @param service service that it belongs to
     * @param availabilityZone availability zone
     * @param sequence number of the announcement
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
                new EndpointLoad(handler.active(), 0, SLOTS, 0),
                List.of(),
                0,
                EndpointPhase.SERVING);
    }

    @Override
    public void close() {
        server.close();
    }
}
