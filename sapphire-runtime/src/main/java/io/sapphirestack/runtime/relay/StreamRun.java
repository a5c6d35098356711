package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.relay.StreamPatience;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** One stream over all its attempts. Used by one thread. */
final class StreamRun implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(StreamRun.class);

    /** Time between two looks at whether the caller is still there, in milliseconds. */
    private static final long CALLER_CHECK_MS = 200;

    /** Time within which a live endpoint accepts a connection, in milliseconds. */
    private static final long PROBE_TIMEOUT_MS = 120;

    /** When a caller may come back if no endpoint takes its stream, in milliseconds. */
    private static final long RETRY_MS = 500;

    /** Connections that may fail before a stream is given up. */
    private static final int MAX_CONNECT_FAILURES = 6;

    private final RelayContext context;
    private final UpstreamPool pool;
    private final RelayedRequest request;
    private final Set<EndpointId> failed = new HashSet<>();
    private StreamAttempt current;
    private UpstreamAnswer firstAnswer;
    private Optional<EndpointState> standby = Optional.empty();
    private OptionalLong lastEventId;
    private Optional<Reply> lastReply = Optional.empty();
    private int sent;
    private int unreachable;
    private long progressAtMs;
    private long probedAtMs;
    private long callerCheckedAtMs;

    StreamRun(RelayContext context, UpstreamPool pool, RelayedRequest request) {
        this.context = context;
        this.pool = pool;
        this.request = request;
        this.lastEventId =
                request.exchange()
                        .header(request.headers().lastEventId())
                        .filter(value -> value.matches("[0-9]{1,18}"))
                        .map(value -> OptionalLong.of(Long.parseLong(value)))
                        .orElse(OptionalLong.empty());
        this.callerCheckedAtMs = context.clock().nowMs();
    }

    RelayedRequest request() {
        return request;
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns the header of the endpoint that sent the first event. */
    UpstreamAnswer firstAnswer() {
        return firstAnswer;
    }

    StreamPatience patience() {
        boolean hasStandby = current != null && current.standby().isPresent();
        return StreamPatience.betweenEvents(request.route().gapTargetMs(), hasStandby);
    }

    /**
     * Waits for the next events; moves to another endpoint when that is due.
     *
     * @param patience how long the endpoint may stay silent
     * @return whole events in order, empty at the end of the stream
     */
    List<EventParser.Event> next(StreamPatience patience) throws ServiceException {
        progressAtMs = context.clock().nowMs();
        while (true) {
            try {
                if (current == null) {
                    start();
                }
                List<EventParser.Event> events = advance(patience);
                if (!events.isEmpty() || current.hasEnded()) {
                    return events;
                }
            } catch (UpstreamException e) {
                lost(e);
            }
        }
    }

    private List<EventParser.Event> advance(StreamPatience patience) throws ServiceException {
        if (current.answer().isEmpty()) {
            UpstreamAnswer answer = current.receiveHeader(() -> checkWait(patience));
            if (!answer.isSuccess()) {
                refused(answer, current.readBody(() -> checkWait(patience)));
                return List.of();
            }
        }
        List<EventParser.Event> events = fresh(current.poll());
        if (events.isEmpty() && !current.hasEnded()) {
            checkWait(patience);
        } else {
            if (firstAnswer == null) {
                firstAnswer = current.answer().orElseThrow();
            }
            context.health().answered(current.endpoint().id(), false);
        }
        return events;
    }

    /** Leaves out events that the caller has. */
    private List<EventParser.Event> fresh(List<EventParser.Event> events) {
        List<EventParser.Event> fresh =
                events.stream()
                        .filter(
                                event ->
                                        event.id().isEmpty()
                                                || lastEventId.isEmpty()
                                                || event.id().get() > lastEventId.getAsLong())
                        .toList();
        fresh.forEach(event -> event.id().ifPresent(id -> lastEventId = OptionalLong.of(id)));
        return fresh;
    }

    private void checkWait(StreamPatience patience) throws ServiceException {
        long nowMs = context.clock().nowMs();
        String peer = current.endpoint().address();
        if (request.deadlineAtMs() <= nowMs) {
            throw new RelayTimeoutException("stream", peer);
        }
        if (nowMs - callerCheckedAtMs >= CALLER_CHECK_MS) {
            callerCheckedAtMs = nowMs;
            request.check(context.clock(), peer);
        }
        long silentMs = nowMs - progressAtMs;
        if (silentMs >= patience.moveAfterMs() && mayMove()) {
            throw new UpstreamException(
                    "silence", peer, "no event for " + silentMs + " ms", true, null);
        }
        long sinceProbeMs = nowMs - Math.max(progressAtMs, probedAtMs);
        if (sinceProbeMs >= patience.probeAfterMs() && mayMove()) {
            boolean answered = pool.probe(current.endpoint(), PROBE_TIMEOUT_MS);
            probedAtMs = context.clock().nowMs();
            if (!answered) {
                throw new UpstreamException(
                        "probe", peer, "no connection after " + silentMs + " ms", true, null);
            }
        }
    }

    private boolean mayMove() {
        return request.route().kind().mayRunAgain() && sent < request.route().maxAttempts();
    }

    private void start() throws ServiceException {
        boolean again = sent > 0;
        if (again && (!mayMove() || !context.budget().tryRepeat(request.service().name()))) {
            throw ended("local");
        }
        EndpointTable table = context.endpoints().get();
        List<EndpointState> candidates = table.ofService(request.service().name());
        Optional<EndpointState> copy = standby.filter(candidates::contains);
        standby = Optional.empty();
        EndpointState endpoint =
                copy.or(() -> context.placement().choose(candidates, failed))
                        .orElseThrow(() -> ended("local"));
        Optional<EndpointState> nextStandby =
                request.service().keepsCopies() && request.route().kind().mayRunAgain()
                        ? context.placement().chooseStandby(candidates, endpoint, failed)
                        : Optional.empty();
        context.health().chosen(endpoint.id());
        LOG.info(
                "SAP1914",
                "A stream was placed",
                "request",
                request.id(),
                "endpoint",
                endpoint.id(),
                "standby",
                nextStandby.map(e -> e.id().value()).orElse(""),
                "fromCopy",
                copy.isPresent(),
                "attempt",
                sent + 1,
                "candidates",
                candidates.size());
        try {
            current =
                    StreamAttempt.send(
                            context,
                            pool,
                            request,
                            new StreamAttempt.Start(
                                    endpoint, nextStandby, lastEventId, copy.isPresent()));
        } catch (UpstreamException e) {
            failed.add(endpoint.id());
            context.health().unreachable(endpoint.id());
            if (!e.sent() && ++unreachable > MAX_CONNECT_FAILURES) {
                throw ended(endpoint.address());
            }
            sent += e.sent() ? 1 : 0;
            throw e;
        }
        sent++;
    }

    private void lost(UpstreamException cause) {
        if (current == null) {
            return;
        }
        EndpointId id = current.endpoint().id();
        failed.add(id);
        context.health().unreachable(id);
        LOG.info(
                "SAP1915",
                "A stream lost its endpoint",
                "request",
                request.id(),
                "endpoint",
                id,
                "lastEvent",
                lastEventId,
                "silentMs",
                context.clock().nowMs() - progressAtMs,
                "cause",
                cause.getMessage());
        standby = current.standby();
        lastReply = Optional.of(Reply.outcomeUnknown("the endpoint broke off"));
        current.close();
        current = null;
    }

    private void refused(UpstreamAnswer answer, byte[] body) throws StreamEndedException {
        EndpointState endpoint = current.endpoint();
        boolean notRun = AnswerChecks.isNotRun(answer, request.headers());
        context.health().answered(endpoint.id(), answer.status() >= 500 && !notRun);
        LOG.info(
                "SAP1916",
                "An endpoint refused a stream",
                "request",
                request.id(),
                "endpoint",
                endpoint.id(),
                "status",
                answer.status(),
                "notRun",
                notRun);
        failed.add(endpoint.id());
        current.release(pool);
        current = null;
        Reply reply = new Reply(answer.status(), answer.forwarded(), body, "");
        if (!notRun) {
            lastReply = Optional.of(reply);
            if (answer.status() < 500 || !request.route().kind().mayRunAgain()) {
                throw new StreamEndedException(endpoint.address(), reply);
            }
        }
    }

    private StreamEndedException ended(String peer) {
        return new StreamEndedException(
                peer,
                lastReply.orElseGet(() -> Reply.notRun("no endpoint takes the stream", RETRY_MS)));
    }

    @Override
    public void close() {
        if (current == null) {
            return;
        }
        if (current.hasEnded()) {
            current.release(pool);
        } else {
            current.close();
        }
    }
}
