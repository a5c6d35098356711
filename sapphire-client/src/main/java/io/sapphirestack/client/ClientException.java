package io.sapphirestack.client;

import io.sapphirestack.core.error.SapphireException;
import java.util.Optional;

/**
 * Root of the checked exceptions of the client module; carries the problem details of a refusal.
 */
public final class ClientException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    /**
     * Creates an exception for a request that no address answered.
     *
     * @param step operation that failed
     * @param peer last address that was tried
     * @param message what went wrong
     * @param cause underlying failure, or {@code null}
     */
    public ClientException(String step, String peer, String message, Throwable cause) {
        super(step, peer, message, cause);
        this.problem = null;
    }

    /**
     * Creates an exception for a refusal.
     *
     * @param address address that refused
     * @param problem problem details of the refusal
     */
    public ClientException(String address, Problem problem) {
        super(problem.step(), address, problem.code() + ": " + problem.detail(), null);
        this.problem = problem;
    }

    /** Returns the problem details, or empty if no address answered. */
    public Optional<Problem> problem() {
        return Optional.ofNullable(problem);
    }
}
