package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import java.util.Map;

/**
 * Work that all other instances have in flight, by endpoint. Immutable.
 *
 * @param known whether the other instances disseminate their work; if not, only the reports of the
 *     endpoints tell their load
 * @param byHandle work in flight by short name, see {@link KnownEndpoint#handleOf}
 */
public record InFlightTable(boolean known, Map<Integer, Integer> byHandle) {
    /** Table of an instance that has not heard from others. */
    public static final InFlightTable UNKNOWN = new InFlightTable(false, Map.of());

    /** Copies the map. */
    public InFlightTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Returns the work of the other instances at an endpoint.
     *
     * @param id name of the endpoint
     * @param epochMs start time of its process
     * @return pieces of work in flight
     */
    public int of(EndpointId id, long epochMs) {
        return byHandle.getOrDefault(KnownEndpoint.handleOf(id, epochMs), 0);
    }
}
