package io.sapphirestack.core.error;

import java.util.Objects;

/**
 * Root of all checked exceptions. It carries the operation that failed and the peer, and appends
 * both to its message.
 */
public abstract class SapphireException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String step;
    private final String peer;

    /**
     * Creates an exception.
     *
     * @param step short name of the operation that failed, such as {@code connect}
     * @param peer address or identifier of the other side, or {@code local}
     * @param message what went wrong, in one sentence
     * @param cause underlying failure, or {@code null}
     */
    protected SapphireException(String step, String peer, String message, Throwable cause) {
        super(message + " [step=" + step + ", peer=" + peer + "]", cause);
        this.step = Objects.requireNonNull(step, "step");
        this.peer = Objects.requireNonNull(peer, "peer");
    }

    /** Returns the short name of the operation that failed. */
    public final String step() {
        return step;
    }

    /** Returns the address or identifier of the other side, or {@code local}. */
    public final String peer() {
        return peer;
    }
}
