package io.sapphirestack.core.routing;

import io.sapphirestack.core.error.RefusedException;

/**
 * Last check directly before the first byte of new work is sent to an endpoint. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface DispatchGuard {

    /**
     * Checks that the configuration is fresh and that the endpoint is neither stopping nor gone.
     *
     * @param endpoint endpoint that was chosen
     * @param kind kind of work
     * @return a permit to be closed when the work has ended
     * @throws RefusedException if the work must not be sent; nothing ran
     */
    DispatchPermit begin(EndpointState endpoint, WorkKind kind) throws RefusedException;
}
