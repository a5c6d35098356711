package io.sapphirestack.runtime.relay;

import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Relays streams of events. When an endpoint fails, the stream goes on within the same answer at
 * the endpoint that holds a copy of the request, or elsewhere from the last whole event.
 */
final class StreamRelay {

    private static final EventLog LOG = EventLog.of(StreamRelay.class);

    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWait startup;

    StreamRelay(RelayContext context, UpstreamPool pool, StartupWait startup) {
        this.context = context;
        this.pool = pool;
        this.startup = startup;
    }

    /**
     * Relays a stream and answers the caller.
     *
     * @param request admitted request
     * @throws IOException if the connection to the caller has to end
     * @throws CallerGoneException if the caller left
     */
    void relay(RelayedRequest request) throws IOException, CallerGoneException {
        context.budget().recordRequest(request.service().name());
        try (StreamRun run = new StreamRun(context, pool, startup, request)) {
            List<EventParser.Event> first;
            try {
                first = run.next();
            } catch (StreamEndedException e) {
                answer(request, e.reply());
                return;
            } catch (CallerGoneException e) {
                throw e;
            } catch (ServiceException e) {
                answer(request, Reply.timedOut("the endpoint sent no event in time"));
                return;
            }
            UpstreamAnswer header = run.firstAnswer();
            request.exchange().stream(
                    header.status(), header.forwarded(), out -> write(run, first, out));
        }
    }

    private static void answer(RelayedRequest request, Reply reply) throws IOException {
        LOG.info(
                "SAP1912",
                "A stream was answered without an event",
                "request",
                request.id(),
                "status",
                reply.status(),
                "reason",
                reply.reason());
        request.exchange().answer(reply.status(), reply.headers(), reply.body());
    }

    private void write(StreamRun run, List<EventParser.Event> first, OutputStream out)
            throws IOException {
        List<EventParser.Event> events = first;
        try {
            while (!events.isEmpty()) {
                for (EventParser.Event event : events) {
                    out.write(event.bytes());
                }
                out.flush();
                events = run.next();
            }
        } catch (ServiceException e) {
            LOG.info(
                    "SAP1913",
                    "A stream was broken off",
                    "request",
                    run.request().id(),
                    "lastEvent",
                    run.lastEventId(),
                    "cause",
                    e.getMessage());
            throw new IOException("the stream cannot continue", e);
        }
    }
}
