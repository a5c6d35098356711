package io.sapphirestack.core.relay;

/**
 * Service of a traffic plan.
 *
 * @param name name
 * @param keepsCopies whether its endpoints keep standby copies of each other's running requests
 */
public record RelayedService(String name, boolean keepsCopies) {}
