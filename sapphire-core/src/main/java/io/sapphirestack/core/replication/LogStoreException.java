package io.sapphirestack.core.replication;

import io.sapphirestack.core.error.SapphireException;

/** Thrown if the storage of a node fails or its content is damaged. */
public class LogStoreException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param file file that the operation used
     * @param message description of the failure
     * @param cause underlying failure, or {@code null}
     */
    public LogStoreException(String step, String file, String message, Throwable cause) {
        super(step, file, message, cause);
    }
}
