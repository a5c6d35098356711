package io.sapphirestack.core.relay;

import io.sapphirestack.core.error.SapphireException;

/**
 * Thrown if a {@link TrafficPlan} (routes, services, client accounts and limits) cannot be read,
 * contains an invalid value or contradicts itself.
 */
public final class TrafficPlanException extends SapphireException {

    private static final long serialVersionUID = 1L;

    private static final String STEP = "traffic-plan";

    /**
     * Creates an exception.
     *
     * @param peer sender of the plan, or {@code local} if no other process sent it
     * @param message description of the error
     * @param cause underlying failure, or {@code null} if there is none
     */
    public TrafficPlanException(String peer, String message, Throwable cause) {
        super(STEP, peer, message, cause);
    }
}
