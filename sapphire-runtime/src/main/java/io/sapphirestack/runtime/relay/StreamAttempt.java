package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** One stream from one endpoint. Used by one thread. */
final class StreamAttempt implements AutoCloseable {

    private static final int BUFFER_BYTES = 4_096;

    private final RelayContext context;
    private final RelayedRequest request;
    private final UpstreamConnection connection;
    private final Start start;
    private DispatchPermit permit;
    private final Optional<DispatchPermit> standbyPermit;
    private final EventParser parser = new EventParser();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private UpstreamAnswer answer;
    private boolean ended;
    private boolean progress;

    private StreamAttempt(
            RelayContext context,
            RelayedRequest request,
            UpstreamConnection connection,
            Start start) {
        this.context = context;
        this.request = request;
        this.connection = connection;
        this.start = start;
        this.permit =
                begin(
                        start.endpoint(),
                        start.fromCopy() ? RelayWorkKind.REQUEST : RelayWorkKind.PROMPT);
        this.standbyPermit = start.standby().map(e -> begin(e, RelayWorkKind.COPY));
    }

    private DispatchPermit begin(EndpointState endpoint, RelayWorkKind work) {
        return context.inFlight().begin(endpoint.id(), work.weight());
    }

    /**
     * Where a stream starts.
     *
     * @param endpoint endpoint that runs it
     * @param standby endpoint that keeps a copy, if any
     * @param lastEventId last event that the caller has, if any
     * @param fromCopy whether the endpoint continues from the copy that it holds
     */
    record Start(
            EndpointState endpoint,
            Optional<EndpointState> standby,
            OptionalLong lastEventId,
            boolean fromCopy) {}

    static StreamAttempt send(
            RelayContext context,
            RelayedRequest request,
            UpstreamConnection connection,
            Start start)
            throws UpstreamException {
        StreamAttempt attempt = new StreamAttempt(context, request, connection, start);
        try {
            connection.send(
                    request.exchange().method(),
                    request.exchange().target(),
                    fields(context, request, start),
                    request.exchange().body());
            return attempt;
        } catch (UpstreamException e) {
            attempt.close();
            throw e;
        }
    }

    private static List<HeaderField> fields(
            RelayContext context, RelayedRequest request, Start start) {
        RelayHeaders names = request.headers();
        List<HeaderField> fields =
                new ArrayList<>(request.fieldsFor(start.endpoint(), context.clock()));
        start.lastEventId()
                .ifPresent(
                        id -> fields.add(new HeaderField(names.lastEventId(), Long.toString(id))));
        start.standby().ifPresent(e -> fields.add(new HeaderField(names.standby(), e.address())));
        if (start.fromCopy()) {
            fields.add(
                    new HeaderField(
                            names.resumeFrom(), start.endpoint().address() + "/" + request.id()));
        }
        return fields;
    }

    EndpointState endpoint() {
        return connection.endpoint();
    }

    Start start() {
        return start;
    }

    /** Returns whether the endpoint has sent an event. */
    boolean hasProgress() {
        return progress;
    }

    /** Returns the header of the answer, empty until it has arrived. */
    Optional<UpstreamAnswer> answer() {
        return Optional.ofNullable(answer);
    }

    boolean hasEnded() {
        return ended;
    }

    /** Waits for the header of the answer that belongs to the request. */
    UpstreamAnswer receiveHeader(UpstreamConnection.WaitCheck check) throws ServiceException {
        while (answer == null) {
            UpstreamAnswer next = connection.receiveHeader(check);
            if (AnswerChecks.belongsTo(next, request)) {
                AnswerChecks.requireSeal(next, request.headers(), endpoint());
                answer = next;
            } else {
                connection.readBody(check);
            }
        }
        return answer;
    }

    byte[] readBody(UpstreamConnection.WaitCheck check) throws ServiceException {
        ended = true;
        return connection.readBody(check);
    }

    /** Reads what has arrived; returns the events that it completes, possibly none. */
    List<EventParser.Event> poll() throws UpstreamException {
        int read = connection.read(buffer);
        if (read >= 0) {
            List<EventParser.Event> events = parser.feed(buffer, read);
            if (!progress && !events.isEmpty()) {
                progress = true;
                permit.close();
                permit = begin(endpoint(), RelayWorkKind.REQUEST);
            }
            return events;
        }
        if (parser.isWithinEvent()) {
            throw new UpstreamException(
                    "receive",
                    endpoint().address(),
                    "the stream ended within an event",
                    true,
                    null);
        }
        ended = true;
        return List.of();
    }

    /** Ends the attempt; the connection is kept only after a complete answer. */
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
        standbyPermit.ifPresent(DispatchPermit::close);
    }
}
