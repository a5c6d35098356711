package io.sapphirestack.daemon;

import io.sapphirestack.core.error.SapphireException;

/** Root of the checked exceptions of the daemon module. */
public class DaemonException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer remote address or local object of the operation, or {@code local}
     * @param message what went wrong
     * @param cause underlying failure, or {@code null}
     */
    public DaemonException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
