package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Relays streams of server-sent events. When an endpoint fails, the same response to the caller
 * continues at the endpoint that holds the standby copy of the request, or at another endpoint
 * after the last complete event. Thread-safe.
 */
final class StreamRelay {

    private static final EventLog LOG = EventLog.of(StreamRelay.class);

    private final RelayComponents components;

    StreamRelay(RelayComponents components) {
        this.components = components;
    }

    /**
     * Relays a stream to the caller.
     *
     * @param request admitted request
     * @throws IOException if the connection to the caller must be closed
     * @throws CallerDisconnectedException if the caller closed its connection before the first
     *     event
     */
    void relay(RelayedRequest request) throws IOException, CallerDisconnectedException {
        components.context().retryBudget().recordRequest(request.service().name());
        try (RelayedStream stream = new RelayedStream(components, request)) {
            List<EventParser.Event> firstEvents;
            try {
                firstEvents = stream.nextEvents();
            } catch (RelayFailedException e) {
                sendResponse(request, e.response());
                return;
            } catch (CallerDisconnectedException e) {
                throw e;
            } catch (ServiceException e) {
                sendResponse(request, RelayResponse.timedOut("the endpoint sent no event in time"));
                return;
            }
            UpstreamResponseHead head = stream.firstResponse();
            request.exchange()
                    .sendStream(
                            head.status(),
                            head.forwardedHeaders(),
                            out -> writeEvents(stream, firstEvents, out));
        }
    }

    private static void sendResponse(RelayedRequest request, RelayResponse response)
            throws IOException {
        LOG.info(
                "SAP1912",
                "A stream ended with an error response before its first event",
                "request",
                request.id(),
                "status",
                response.status(),
                "reason",
                response.reason());
        request.exchange().sendResponse(response.status(), response.headers(), response.body());
    }

    private void writeEvents(
            RelayedStream stream, List<EventParser.Event> firstEvents, OutputStream out)
            throws IOException {
        List<EventParser.Event> events = firstEvents;
        try {
            while (!events.isEmpty()) {
                for (EventParser.Event event : events) {
                    out.write(event.bytes());
                }
                out.flush();
                events = stream.nextEvents();
            }
        } catch (ServiceException e) {
            LOG.info(
                    "SAP1913",
                    "A stream was aborted after its first event",
                    "request",
                    stream.request().id(),
                    "lastEvent",
                    stream.lastEventId(),
                    "cause",
                    e.getMessage());
            throw new IOException("the stream cannot continue", e);
        }
    }
}
