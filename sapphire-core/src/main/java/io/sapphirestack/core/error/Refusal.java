package io.sapphirestack.core.error;

import java.util.Objects;

/**
 * Description of a refused or failed request, returned to the caller as problem details.
 *
 * @param status HTTP status code, 400 to 599
 * @param code stable machine-readable code in snake case
 * @param detail explanation in one sentence
 * @param step operation that refused the request
 * @param peer address or identifier of the other side of the operation, or {@code local}
 * @param executed whether an endpoint executed the request
 * @param retryAfterMs delay in milliseconds after which the caller should retry, or 0 for no
 *     suggestion
 */
public record Refusal(
        int status,
        String code,
        String detail,
        String step,
        String peer,
        ExecutionState executed,
        long retryAfterMs) {

    /** Checks the components. */
    public Refusal {
        if (status < 400 || status > 599) {
            throw new IllegalArgumentException(
                    "status must be between 400 and 599 but is " + status);
        }
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(executed, "executed");
    }

    /**
     * Creates a refusal by this process of a request that was not executed. With status 503 it
     * suggests a retry after one second.
     *
     * @param status HTTP status code, 400 to 599
     * @param code stable machine-readable code
     * @param step operation that refused the request
     * @param detail explanation in one sentence
     * @return a refusal with the peer {@code local} and {@link ExecutionState#NO}
     */
    public static Refusal notExecuted(int status, String code, String step, String detail) {
        return new Refusal(
                status, code, detail, step, "local", ExecutionState.NO, status == 503 ? 1_000 : 0);
    }
}
