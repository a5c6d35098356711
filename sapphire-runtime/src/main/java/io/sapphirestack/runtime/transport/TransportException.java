package io.sapphirestack.runtime.transport;

import io.sapphirestack.runtime.error.ServiceException;

/** Signals that a call to another instance failed. */
public final class TransportException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /**
     * Creates an exception.
     *
     * @param step operation that failed, such as {@code connect} or {@code await-reply}
     * @param peer address of the other instance
     * @param message what went wrong
     * @param maybeSent whether the request may have reached the peer
     * @param cause underlying failure, or {@code null}
     */
    public TransportException(
            String step, String peer, String message, boolean maybeSent, Throwable cause) {
        super(step, peer, message, cause);
        this.maybeSent = maybeSent;
    }

    /** Returns whether the request may have reached the peer. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
