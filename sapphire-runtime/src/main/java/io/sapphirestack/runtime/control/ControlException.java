package io.sapphirestack.runtime.control;

import io.sapphirestack.runtime.error.ServiceException;

/**
 * Thrown when a call of {@link ControlClient} obtained no result. A command may still be applied
 * later unless {@link #maybeApplied()} returns false.
 */
public final class ControlException extends ServiceException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeApplied;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer address of the voter that was called last
     * @param message description of the failure
     * @param maybeApplied whether the command may still be applied
     * @param cause cause, or {@code null}
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
