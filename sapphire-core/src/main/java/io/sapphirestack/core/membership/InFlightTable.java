package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import java.util.Map;

/**
 * Work that all other instances have in flight, by endpoint, as the sum of its weights. Immutable.
 *
 * @param known whether the other instances disseminate their work in flight; if not, only the
 *     reports of the endpoints give their load
 * @param byHandle sum of weights in flight by endpoint handle, see {@link
 *     MergedEndpointState#handleOf}
 */
public record InFlightTable(boolean known, Map<Integer, Integer> byHandle) {
    /** Table of an instance that has no data from others. */
    public static final InFlightTable UNKNOWN = new InFlightTable(false, Map.of());

    /** Copies the map. */
    public InFlightTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Returns the work that the other instances have in flight at an endpoint.
     *
     * @param id identifier of the endpoint
     * @param epochMs wall-clock start time of its process in milliseconds
     * @return sum of weights in flight, 0 if the endpoint is not listed
     */
    public int of(EndpointId id, long epochMs) {
        return byHandle.getOrDefault(MergedEndpointState.handleOf(id, epochMs), 0);
    }
}
