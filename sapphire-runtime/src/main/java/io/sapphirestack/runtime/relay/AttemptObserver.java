package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import java.util.List;

/**
 * Is told what endpoints respond to the attempts of requests. Implementations are thread-safe and
 * do not block.
 */
interface AttemptObserver {

    /**
     * Called for the head of each response, of success, refusal and error alike.
     *
     * @param head head of the response
     * @param request request
     * @param endpoint endpoint that sent the response
     * @param sentAtMs time at which the request was sent, on the monotonic clock, in milliseconds
     */
    void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs);

    /**
     * Called when an attempt ended without a complete response.
     *
     * @param request request
     * @param endpoint endpoint that the request was sent to
     * @param sentAtMs time at which the request was sent, on the monotonic clock, in milliseconds
     */
    default void onFailure(RelayedRequest request, EndpointState endpoint, long sentAtMs) {}

    /**
     * Called for each group of events that a stream received together.
     *
     * @param request request
     * @param endpoint endpoint that sent the events
     * @param events number of events
     * @param first whether they are the first ones of this attempt
     * @param waitedMs time since the previous events, or since the request was sent, in
     *     milliseconds
     */
    default void onEvents(
            RelayedRequest request,
            EndpointState endpoint,
            int events,
            boolean first,
            long waitedMs) {}

    /**
     * Returns an observer that passes each call on.
     *
     * @param observers observers in the order of the calls
     * @return observer that calls all of them
     */
    static AttemptObserver all(List<AttemptObserver> observers) {
        List<AttemptObserver> copy = List.copyOf(observers);
        return new AttemptObserver() {
            @Override
            public void onHead(
                    UpstreamResponseHead head,
                    RelayedRequest request,
                    EndpointState endpoint,
                    long sentAtMs) {
                copy.forEach(o -> o.onHead(head, request, endpoint, sentAtMs));
            }

            @Override
            public void onFailure(RelayedRequest request, EndpointState endpoint, long sentAtMs) {
                copy.forEach(o -> o.onFailure(request, endpoint, sentAtMs));
            }

            @Override
            public void onEvents(
                    RelayedRequest request,
                    EndpointState endpoint,
                    int events,
                    boolean first,
                    long waitedMs) {
                copy.forEach(o -> o.onEvents(request, endpoint, events, first, waitedMs));
            }
        };
    }
}
