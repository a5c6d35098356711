package io.sapphirestack.core.membership;

/**
 * Load that an endpoint reports, possibly with a lag.
 *
 * @param running streams or calls being executed
 * @param queued streams or calls waiting
 * @param slots how many can be executed at once, 0 if unknown
 * @param tokensPerS recent output in tokens per second
 */
public record EndpointLoad(int running, int queued, int slots, double tokensPerS) {

    /** Load of an endpoint that reports none. */
    public static final EndpointLoad NONE = new EndpointLoad(0, 0, 0, 0);
}
