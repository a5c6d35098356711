package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.connection.MessageLimitException;
import io.sapphirestack.runtime.error.ServiceException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** One attempt of a streamed request at one endpoint. Used by one thread. */
final class StreamAttempt implements AutoCloseable {

    private static final int BUFFER_BYTES = 4_096;

    private final RelayContext context;
    private final RelayedRequest request;
    private final UpstreamConnection connection;
    private final AttemptTarget target;
    private DispatchPermit permit;
    private final EventParser parser;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private UpstreamResponseHead response;
    private boolean complete;
    private boolean eventReceived;

    private StreamAttempt(
            RelayContext context,
            RelayedRequest request,
            UpstreamConnection connection,
            AttemptTarget target) {
        this.context = context;
        this.request = request;
        this.connection = connection;
        this.target = target;
        this.parser =
                new EventParser(request.exchange().memory(), context.responseLimits().eventBytes());
        this.permit =
                begin(
                        target.endpoint(),
                        target.fromCopy() ? RelayWorkKind.REQUEST : RelayWorkKind.PROMPT);
    }

    private DispatchPermit begin(EndpointState endpoint, RelayWorkKind kind) {
        return context.inFlight().begin(endpoint.id(), kind.weight());
    }

    /**
     * Endpoint of an attempt and the event from which it continues.
     *
     * @param endpoint endpoint that the request is sent to
     * @param standby endpoint that keeps a standby copy, if any
     * @param lastEventId identifier of the last event that the caller has, if any
     * @param copyReference names the standby copy from which the endpoint continues, if any
     * @param urgency urgency for the engine, from 0, the most urgent, to 9; empty for its default
     */
    record AttemptTarget(
            EndpointState endpoint,
            Optional<EndpointState> standby,
            OptionalLong lastEventId,
            Optional<String> copyReference,
            OptionalInt urgency) {

        /** Returns whether the endpoint continues from the standby copy that it holds. */
        boolean fromCopy() {
            return copyReference.isPresent();
        }
    }

    static StreamAttempt send(
            RelayContext context,
            RelayedRequest request,
            UpstreamConnection connection,
            AttemptTarget target)
            throws UpstreamException {
        StreamAttempt attempt = new StreamAttempt(context, request, connection, target);
        try {
            connection.send(request, headers(context, request, target));
            return attempt;
        } catch (UpstreamException e) {
            attempt.close();
            throw e;
        }
    }

    private static List<HeaderField> headers(
            RelayContext context, RelayedRequest request, AttemptTarget target) {
        RelayHeaders names = request.headers();
        List<HeaderField> fields =
                new ArrayList<>(request.headersFor(target.endpoint(), context.clock()));
        target.lastEventId()
                .ifPresent(
                        id -> fields.add(new HeaderField(names.lastEventId(), Long.toString(id))));
        target.standby().ifPresent(e -> fields.add(new HeaderField(names.standby(), e.address())));
        target.urgency()
                .ifPresent(u -> fields.add(new HeaderField(names.urgency(), Integer.toString(u))));
        target.copyReference()
                .ifPresent(copy -> fields.add(new HeaderField(names.resumeFrom(), copy)));
        return fields;
    }

    EndpointState endpoint() {
        return connection.endpoint();
    }

    AttemptTarget target() {
        return target;
    }

    /** Returns whether the endpoint has sent a complete event. */
    boolean hasReceivedEvent() {
        return eventReceived;
    }

    /** Returns the head of the response, empty until it has arrived. */
    Optional<UpstreamResponseHead> response() {
        return Optional.ofNullable(response);
    }

    boolean isComplete() {
        return complete;
    }

    /** Waits for the head of the response to this request. */
    UpstreamResponseHead receiveHead(UpstreamConnection.WaitCheck check) throws ServiceException {
        response = ResponseChecks.receiveHead(connection, request, check);
        return response;
    }

    byte[] readBody(UpstreamConnection.WaitCheck check) throws ServiceException {
        complete = true;
        return connection.readBody(request.exchange().memory(), check);
    }

    /**
     * Waits for the next bytes.
     *
     * @param check decides whether the wait continues
     * @return the events that the bytes complete, possibly none
     * @throws ServiceException if the check ends the wait, or the stream breaks off
     */
    List<EventParser.Event> poll(UpstreamConnection.WaitCheck check) throws ServiceException {
        int read = connection.read(buffer, check);
        if (read >= 0) {
            List<EventParser.Event> events = parse(read);
            if (!eventReceived && !events.isEmpty()) {
                eventReceived = true;
                permit.close();
                permit = begin(endpoint(), RelayWorkKind.REQUEST);
            }
            return events;
        }
        if (parser.hasPartialEvent()) {
            throw new UpstreamException(
                    "receive",
                    endpoint().address(),
                    "the endpoint ended the stream within an event",
                    true,
                    null);
        }
        complete = true;
        return parser.trailingComments().stream().toList();
    }

    private List<EventParser.Event> parse(int length) throws UpstreamException {
        try {
            return parser.parse(buffer, length);
        } catch (MessageLimitException e) {
            throw connection.limitExceeded(e.limit(), e);
        }
    }

    /** Ends the attempt; the pool keeps the connection only after a complete response. */
    void release(UpstreamPool pool) {
        closePermits();
        pool.release(connection);
    }

    @Override
    public void close() {
        closePermits();
        connection.close();
    }

    private void closePermits() {
        permit.close();
    }
}
