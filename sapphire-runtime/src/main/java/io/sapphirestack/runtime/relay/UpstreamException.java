package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;

/** An endpoint gave no whole answer. */
final class UpstreamException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer address of the endpoint
     * @param message what went wrong
     * @param sent whether a byte of the request may have reached the endpoint
     * @param cause underlying failure, or {@code null}
     */
    UpstreamException(String step, String peer, String message, boolean sent, Throwable cause) {
        super(step, peer, message, cause);
        this.sent = sent;
    }

    /** Returns whether the request may have run. */
    boolean sent() {
        return sent;
    }
}
