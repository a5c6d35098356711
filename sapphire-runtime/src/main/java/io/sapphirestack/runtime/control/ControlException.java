package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.error.ServiceException;

/**
 * No result of a command could be obtained; it may be applied later unless {@link #maybeApplied()}
 * is false.
 */
public final class ControlException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeApplied;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer address of the voter
     * @param message what went wrong
     * @param maybeApplied whether the command may still be applied
     * @param cause underlying failure, or {@code null}
     */
    public ControlException(
            String step, String peer, String message, boolean maybeApplied, Throwable cause) {
        super(step, peer, message, cause);
        this.maybeApplied = maybeApplied;
    }

    /** Returns whether the command may still be applied. */
    public boolean maybeApplied() {
        return maybeApplied;
    }
}
