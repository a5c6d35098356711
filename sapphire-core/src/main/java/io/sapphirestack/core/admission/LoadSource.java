package io.sapphirestack.core.admission;

import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.routing.EndpointState;
import java.util.Optional;

/** Returns the latest known load of endpoints. Implementations are thread-safe. */
@FunctionalInterface
public interface LoadSource {

    /**
     * Returns the load of an endpoint.
     *
     * @param endpoint endpoint
     * @return load with its age, empty if it is not known
     */
    Optional<ObservedLoad> of(EndpointState endpoint);
}
