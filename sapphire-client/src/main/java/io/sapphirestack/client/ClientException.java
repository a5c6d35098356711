package io.sapphirestack.client;

import io.sapphirestack.core.error.SapphireException;
import java.util.Optional;

/**
 * Root of the checked exceptions of the client module; carries the problem details of a refusal.
 */
public final class ClientException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final transient ProblemDetails problem;

    /**
     * Creates an exception for a request that got no complete response.
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
     * @param address {@code host:port} of the instance that refused
     * @param problem problem details of the refusal
     */
    public ClientException(String address, ProblemDetails problem) {
        super(problem.step(), address, problem.code() + ": " + problem.detail(), null);
        this.problem = problem;
    }

    /** Returns the problem details, or empty if the request was not refused. */
    public Optional<ProblemDetails> problem() {
        return Optional.ofNullable(problem);
    }
}
