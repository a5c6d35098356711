package io.sapphirestack.cli;

import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ProblemDetails;

/** Exit codes of the command line; scripts depend on their numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed locally, or a plain service responded with an error status. */
    FAILED(1),
    /** The arguments or a named file are invalid. */
    USAGE(2),
    /** The request was refused and not executed. */
    REFUSED(3),
    /** The outcome of the request is unknown. */
    UNKNOWN(4),
    /**
     * The record does not have the expected revision, because another change was accepted first.
     */
    CONFLICT(5),
    /** The object does not exist, or no longer. */
    NOT_FOUND(6),
    /** The key is invalid or lacks the permission. */
    FORBIDDEN(7),
    /** No address responded. */
    UNREACHABLE(8),
    /** The awaited state was not reached before the timeout. */
    TIMED_OUT(9);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }

    /**
     * Maps a failure of the client to an exit code.
     *
     * @param failure failure of a request
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
            default -> problem.executed().equals("unknown") ? UNKNOWN : REFUSED;
        };
    }
}
