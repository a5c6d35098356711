package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.runtime.error.ServiceException;

/** Failure of a call to an endpoint. */
public final class EndpointException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean written;
    private final boolean silent;

    /**
     * Creates an exception.
     *
     * @param step {@code connect}, {@code send} or {@code receive}
     * @param peer address of the endpoint
     * @param message what went wrong
     * @param written whether a byte of the request may have been sent
     * @param silent whether the endpoint was silent until a timeout, rather than closing or
     *     refusing the connection
     * @param cause underlying failure, or {@code null}
     */
    public EndpointException(
            String step,
            String peer,
            String message,
            boolean written,
            boolean silent,
            Throwable cause) {
        super(step, peer, message, cause);
        this.written = written;
        this.silent = silent;
    }

    /** Returns whether a byte of the request may have been sent. */
    public boolean written() {
        return written;
    }

    /** Returns whether the endpoint was silent until a timeout. */
    public boolean silent() {
        return silent;
    }
}
