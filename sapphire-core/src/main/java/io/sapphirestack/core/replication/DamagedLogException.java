package io.sapphirestack.core.replication;

/**
 * Thrown if the stored content of a node is damaged. The node must not go on with it, and trying
 * again does not help: its storage has to be emptied, so that it joins with a new identity.
 */
public final class DamagedLogException extends LogStoreException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param file file that is damaged
     * @param message description of the damage
     * @param cause underlying failure, or {@code null}
     */
    public DamagedLogException(String step, String file, String message, Throwable cause) {
        super(step, file, message, cause);
    }
}
