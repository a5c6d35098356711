package io.sapphirestack.core.admission;

import io.sapphirestack.core.routing.EndpointState;
import java.util.Optional;

/**
 * Load that an endpoint stated about itself.
 *
 * @param running requests that it executes
 * @param waiting requests that wait at it
 * @param slots requests that it can execute at the same time
 * @param pace current time per request relative to the usual one, 1 if not stated
 * @param ageMs age of the statement, in milliseconds
 */
public record ReportedLoad(int running, int waiting, int slots, double pace, long ageMs) {

    /** Returns the latest known load of endpoints. Implementations are thread-safe. */
    @FunctionalInterface
    public interface Source {

        /** Knows no load. */
        Source NONE = endpoint -> Optional.empty();

        /**
         * Returns the load of an endpoint.
         *
         * @param endpoint endpoint
         * @return load with its age, empty if it is not known
         */
        Optional<ReportedLoad> of(EndpointState endpoint);
    }
}
