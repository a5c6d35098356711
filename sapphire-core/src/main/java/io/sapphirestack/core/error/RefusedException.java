package io.sapphirestack.core.error;

/**
 * Thrown if a request was refused or failed; {@link Refusal#executed} tells whether an endpoint
 * executed it.
 */
public final class RefusedException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates an exception from a refusal.
     *
     * @param refusal description that is returned to the caller
     */
    public RefusedException(Refusal refusal) {
        this(refusal, null);
    }

    /**
     * Creates an exception from a refusal and its cause.
     *
     * @param refusal description that is returned to the caller
     * @param cause underlying failure, or {@code null}
     */
    public RefusedException(Refusal refusal, Throwable cause) {
        super(refusal.step(), refusal.peer(), refusal.code() + ": " + refusal.detail(), cause);
        this.refusal = refusal;
    }

    /**
     * Returns the description that is returned to the caller, or {@code null} if this exception was
     * deserialized.
     */
    public Refusal refusal() {
        return refusal;
    }
}
