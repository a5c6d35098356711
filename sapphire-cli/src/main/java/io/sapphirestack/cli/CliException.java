package io.sapphirestack.cli;

import io.sapphirestack.core.error.SapphireException;

/** Failure of a command of the command line, with its exit code. */
public final class CliException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode exit code of the process
     * @param step operation that failed
     * @param message what went wrong and what was expected
     * @param cause underlying failure, or {@code null}
     */
    public CliException(ExitCode exitCode, String step, String message, Throwable cause) {
        super(step, "local", message, cause);
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
