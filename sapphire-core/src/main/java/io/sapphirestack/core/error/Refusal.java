package io.sapphirestack.core.error;

import java.util.Objects;

/**
 * Description of refused work, shown to callers as problem details.
 *
 * @param status HTTP status code
 * @param code stable machine-readable code in snake case
 * @param detail explanation in one sentence
 * @param step operation that refused
 * @param peer other side of the operation, or {@code local}
 * @param ran whether the work was executed
 * @param retryAfterMs suggested delay before a retry in milliseconds, or 0 for none
 */
public record Refusal(
        int status,
        String code,
        String detail,
        String step,
        String peer,
        RanState ran,
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
        Objects.requireNonNull(ran, "ran");
    }

    /**
     * Creates a local refusal of work that was not executed.
     *
     * @param status HTTP status code
     * @param code stable machine-readable code
     * @param step operation that refused
     * @param detail explanation in one sentence
     * @return a refusal with {@link RanState#NO}
     */
    public static Refusal notRun(int status, String code, String step, String detail) {
        return new Refusal(
                status, code, detail, step, "local", RanState.NO, status == 503 ? 1_000 : 0);
    }
}
