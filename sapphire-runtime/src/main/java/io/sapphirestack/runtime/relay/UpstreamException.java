package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** An attempt failed before the endpoint sent a complete response. */
final class UpstreamException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveRun;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer address of the endpoint
     * @param message what went wrong
     * @param mayHaveRun whether a byte of the request may have reached the endpoint, so that it may
     *     have run the request
     * @param cause underlying failure, or {@code null}
     */
    UpstreamException(
            String step, String peer, String message, boolean mayHaveRun, Throwable cause) {
        super(step, peer, message, cause);
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the endpoint may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
