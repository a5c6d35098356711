package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Immutable table of the known endpoints, indexed by service. */
public final class EndpointTable {

    /** Table without endpoints. */
    public static final EndpointTable EMPTY = new EndpointTable(Map.of());

    private final Map<EndpointId, EndpointState> byId;
    private final Map<String, List<EndpointState>> byService;

    /**
     * Creates a table of endpoints whose services are all named.
     *
     * @param byId endpoints by identifier
     */
    public EndpointTable(Map<EndpointId, EndpointState> byId) {
        this(byId, service -> true);
    }

    /**
     * Creates a table.
     *
     * @param byId endpoints by identifier
     * @param isNamedService returns whether the configuration names a service; what announces
     *     another one takes over no address
     */
    public EndpointTable(Map<EndpointId, EndpointState> byId, Predicate<String> isNamedService) {
        this.byId = Map.copyOf(byId);
        Map<String, Long> latestByAddress = new HashMap<>();
        this.byId.values().stream()
                .filter(endpoint -> isNamedService.test(endpoint.service()))
                .forEach(
                        endpoint ->
                                latestByAddress.merge(
                                        endpoint.address(), endpoint.epochMs(), Math::max));
        this.byService =
                this.byId.values().stream()
                        .filter(EndpointState::isServing)
                        // The latest process at an address has replaced earlier ones there.
                        .filter(
                                e ->
                                        e.epochMs()
                                                >= latestByAddress.getOrDefault(
                                                        e.address(), Long.MIN_VALUE))
                        .sorted((a, b) -> a.id().compareTo(b.id()))
                        .collect(
                                Collectors.groupingBy(
                                        EndpointState::service, Collectors.toUnmodifiableList()));
    }

    /** Returns all endpoints by identifier, including those that accept no new work. */
    public Map<EndpointId, EndpointState> byId() {
        return byId;
    }

    /**
     * Finds an endpoint.
     *
     * @param id identifier of the endpoint
     * @return its state, or empty if the endpoint is unknown
     */
    public Optional<EndpointState> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns the endpoints of a service that accept new work, without endpoints whose address was
     * taken over by a later process.
     *
     * @param service name of the service
     * @return endpoints, sorted by identifier; empty for an unknown service
     */
    public List<EndpointState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }
}
