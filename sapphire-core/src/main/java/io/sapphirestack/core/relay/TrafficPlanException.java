package io.sapphirestack.core.relay;

import io.sapphirestack.core.error.SapphireException;

/** A traffic plan cannot be read or contradicts itself. */
public final class TrafficPlanException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private static final String STEP = "traffic-plan";

    /**
     * Creates an exception.
     *
     * @param peer who sent the plan, or {@code local}
     * @param message what is wrong
     * @param cause underlying failure, or {@code null}
     */
    public TrafficPlanException(String peer, String message, Throwable cause) {
        super(STEP, peer, message, cause);
    }
}
