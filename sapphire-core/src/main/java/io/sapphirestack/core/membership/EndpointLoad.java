package io.sapphirestack.core.membership;

/**
 * Load of an endpoint as reported by itself; it may lag behind the actual load.
 *
 * @param running number of requests being executed, including streams
 * @param queued number of requests waiting, including streams
 * @param slots maximum number of requests executed at the same time, 0 if unknown
 * @param tokensPerS recent output rate in tokens per second
 */
public record EndpointLoad(int running, int queued, int slots, double tokensPerS) {

    /** Load of an endpoint that does not report its load. */
    public static final EndpointLoad NONE = new EndpointLoad(0, 0, 0, 0);
}
