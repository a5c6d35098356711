package io.sapphirestack.cli;

import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ProblemDetails;

/** Exit codes of the command line; stable. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Failure of the command line itself. */
    FAILED(1),
    /** Wrong arguments. */
    USAGE(2),
    /** Refused; nothing ran. */
    REFUSED(3),
    /** The outcome is unknown. */
    UNKNOWN(4),
    /** Another change came first. */
    CONFLICT(5),
    /** Not found. */
    NOT_FOUND(6),
    /** Wrong key or missing permission. */
    FORBIDDEN(7),
    /** No address answered. */
    UNREACHABLE(8),
    /** The state that was waited for did not come in time. */
    TIMED_OUT(9);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number that the process exits with. */
    public int number() {
        return number;
    }

    /**
     * Maps a failure of the client to an exit code.
     *
     * @param failure what went wrong
     * @return exit code
     */
    public static ExitCode of(ClientException failure) {
        return failure.problem().map(ExitCode::of).orElse(UNREACHABLE);
    }

    private static ExitCode of(ProblemDetails problem) {
        return switch (problem.status()) {
            case 401, 403 -> FORBIDDEN;
            case 404, 410 -> NOT_FOUND;
            case 412 -> CONFLICT;
            default -> problem.ran().equals("unknown") ? UNKNOWN : REFUSED;
        };
    }
}
