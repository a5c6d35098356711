package io.sapphirestack.runtime.error;

import io.sapphirestack.core.error.SapphireException;

/** Base class of the checked exceptions of the runtime module. */
public class ServiceException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer remote side of the operation, or {@code local}
     * @param message description of the failure
     * @param cause cause, or {@code null}
     */
    public ServiceException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
    }
}
