package io.sapphirestack.core.relay;

/**
 * Service of a traffic plan.
 *
 * @param name unique name within the plan
 * @param keepsStandbyCopies whether its endpoints keep standby copies of streams that run at other
 *     endpoints of the service
 */
public record RelayedService(String name, boolean keepsStandbyCopies) {}
