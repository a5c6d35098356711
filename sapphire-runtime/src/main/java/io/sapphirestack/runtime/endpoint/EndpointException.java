package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.runtime.error.ServiceException;

/** Thrown when a call to an endpoint fails. */
public final class EndpointException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;
    private final boolean timedOut;

    /**
     * Creates an exception.
     *
     * @param step operation that failed: {@code connect}, {@code exchange} or {@code receive}
     * @param peer address of the endpoint
     * @param message description of the failure
     * @param maybeSent whether any byte of the request may have been sent
     * @param timedOut whether the call timed out, in contrast to a closed or refused connection
     * @param cause cause, or {@code null}
     */
    public EndpointException(
            String step,
            String peer,
            String message,
            boolean maybeSent,
            boolean timedOut,
            Throwable cause) {
        super(step, peer, message, cause);
        this.maybeSent = maybeSent;
        this.timedOut = timedOut;
    }

    /** Returns whether any byte of the request may have been sent. */
    public boolean maybeSent() {
        return maybeSent;
    }

    /** Returns whether the call timed out, in contrast to a closed or refused connection. */
    public boolean timedOut() {
        return timedOut;
    }
}
