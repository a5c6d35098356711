package io.sapphirestack.standins.demo;

import io.sapphirestack.core.error.SapphireException;

/**
 * Thrown if the demonstration cannot start or reach its processes, or a step does not reach a state
 * in time.
 */
public final class FleetException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer name or address of the process involved
     * @param message description of the failure
     * @param cause underlying failure, or {@code null}
     */
    public FleetException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
