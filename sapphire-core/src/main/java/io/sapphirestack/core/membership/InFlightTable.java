package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import java.util.Map;

/**
 * Number of requests that all other instances have in flight, by endpoint. Immutable.
 *
 * @param known whether the other instances disseminate their requests in flight; if not, only the
 *     reports of the endpoints give their load
 * @param byHandle requests in flight by endpoint handle, see {@link MergedEndpointState#handleOf}
 */
public record InFlightTable(boolean known, Map<Integer, Integer> byHandle) {
    /** Table of an instance that has no data from others. */
    public static final InFlightTable UNKNOWN = new InFlightTable(false, Map.of());

    /** Copies the map. */
    public InFlightTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Returns the number of requests that the other instances have in flight at an endpoint.
     *
     * @param id name of the endpoint
     * @param epochMs wall-clock start time of its process in milliseconds
     * @return requests in flight, 0 if the endpoint is not listed
     */
    public int of(EndpointId id, long epochMs) {
        return byHandle.getOrDefault(MergedEndpointState.handleOf(id, epochMs), 0);
    }
}
