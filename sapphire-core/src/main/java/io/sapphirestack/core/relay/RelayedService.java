package io.sapphirestack.core.relay;

/**
 * Service of a traffic plan.
 *
 * @param name name
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param memoryTokens tokens that fit into the memory of an endpoint, 0 for a plain service
 * @param keepsCopies whether its endpoints keep standby copies of each other's running requests
 */
public record RelayedService(
        String name, int maxConnections, long memoryTokens, boolean keepsCopies) {}
