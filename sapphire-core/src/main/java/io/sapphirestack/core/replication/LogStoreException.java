package io.sapphirestack.core.replication;

import io.sapphirestack.core.error.SapphireException;

/** The storage of a node failed or is damaged. */
public final class LogStoreException extends SapphireException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param file file that was involved
     * @param message what went wrong
     * @param cause underlying failure, or {@code null}
     */
    public LogStoreException(String step, String file, String message, Throwable cause) {
        super(step, file, message, cause);
    }
}
