package io.sapphirestack.core.routing;

import io.sapphirestack.core.error.RefusedException;

/**
 * Final check immediately before the first byte of new work is sent to an endpoint. Implementations
 * are thread-safe.
 */
@FunctionalInterface
public interface DispatchGuard {

    /**
     * Checks that the configuration is not stale, and that the endpoint has no planned stop and has
     * neither been removed nor restarted since it was chosen.
     *
     * @param endpoint chosen endpoint
     * @param kind kind of work
     * @return permit, to be closed when the work has ended
     * @throws RefusedException if the work must not be sent; it has not run
     */
    DispatchPermit begin(EndpointState endpoint, WorkKind kind) throws RefusedException;
}
