package io.sapphirestack.standins.demo;

import io.sapphirestack.core.error.SapphireException;

/** The demonstration could not start or reach its processes. */
public final class FleetException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer process or address that was involved
     * @param message what went wrong
     * @param cause underlying failure, or {@code null}
     */
    public FleetException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
