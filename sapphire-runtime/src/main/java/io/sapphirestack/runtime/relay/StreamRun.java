package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.relay.StreamTimeouts;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

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
    private static final int MAX_CONNECT_FAILURES = 12;

    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWait startup;
    private final RelayedRequest request;
    private final List<EndpointState> failed = new ArrayList<>();
    private StreamAttempt current;
    private UpstreamAnswer firstAnswer;
    private Optional<EndpointState> standby = Optional.empty();
    private OptionalLong lastEventId;
    private Optional<Reply> lastReply = Optional.empty();
    private int sent;
    private boolean moved;
    private int unreachable;
    private long progressAtMs;
    private long startedAtMs;
    private long probedAtMs;
    private long callerCheckedAtMs;

    StreamRun(
            RelayContext context, UpstreamPool pool, StartupWait startup, RelayedRequest request) {
        this.context = context;
        this.pool = pool;
        this.startup = startup;
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

    private StreamTimeouts patience() {
        long gapTargetMs = request.route().gapTargetMs();
        StreamAttempt.Start start = current.start();
        if (current.hasProgress()) {
            return StreamTimeouts.betweenEvents(gapTargetMs, start.standby().isPresent());
        }
        return firstAnswer == null && !start.fromCopy()
                ? StreamTimeouts.beforeFirstEvent()
                : StreamTimeouts.afterMove(gapTargetMs, start.fromCopy());
    }

    /**
     * Waits for the next events; moves to another endpoint when that is due.
     *
     * @return whole events in order, empty at the end of the stream
     */
    List<EventParser.Event> next() throws ServiceException {
        progressAtMs = context.clock().nowMs();
        while (true) {
            try {
                if (current == null) {
                    start();
                }
                List<EventParser.Event> events = advance();
                if (!events.isEmpty() || current != null && current.hasEnded()) {
                    return events;
                }
            } catch (UpstreamException e) {
                lost(e);
            }
        }
    }

    private List<EventParser.Event> advance() throws ServiceException {
        if (current.answer().isEmpty()) {
            UpstreamAnswer answer = current.receiveHeader(this::checkWait);
            if (!answer.isSuccess()) {
                refused(answer, current.readBody(this::checkWait));
                return List.of();
            }
        }
        checkDeadline();
        List<EventParser.Event> events = fresh(current.poll());
        if (events.isEmpty() && !current.hasEnded()) {
            checkWait();
        } else {
            logPause();
            if (firstAnswer == null) {
                firstAnswer = current.answer().orElseThrow();
            }
            context.health().recordResponse(current.endpoint().id(), false);
        }
        return events;
    }

    private void logPause() {
        long pauseMs = context.clock().nowMs() - progressAtMs;
        boolean tooLong = firstAnswer != null && pauseMs > request.route().gapTargetMs();
        if (moved) {
            context.metrics().recordResume(pauseMs);
        }
        if (moved || tooLong) {
            LOG.info(
                    "SAP1919",
                    "A stream goes on after a pause",
                    "request",
                    request.id(),
                    "endpoint",
                    current.endpoint().id(),
                    "moved",
                    moved,
                    "fromCopy",
                    current.start().fromCopy(),
                    "pauseMs",
                    pauseMs,
                    "lastEvent",
                    lastEventId);
        }
        moved = false;
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

    /** Ends a stream whose time is over although its events still arrive. */
    private void checkDeadline() throws RelayTimeoutException {
        if (request.remainingMs(context.clock()) <= 0) {
            throw new RelayTimeoutException("stream", current.endpoint().address());
        }
    }

    private void checkWait() throws ServiceException {
        checkDeadline();
        long nowMs = context.clock().nowMs();
        String peer = current.endpoint().address();
        if (nowMs - callerCheckedAtMs >= CALLER_CHECK_MS) {
            callerCheckedAtMs = nowMs;
            request.check(context.clock(), peer);
        }
        StreamTimeouts patience = patience();
        long silentMs = nowMs - Math.max(progressAtMs, startedAtMs);
        if (silentMs >= patience.moveAfterMs() && mayMove()) {
            throw new UpstreamException(
                    "silence", peer, "no event for " + silentMs + " ms", true, null);
        }
        long sinceProbeMs = nowMs - Math.max(Math.max(progressAtMs, startedAtMs), probedAtMs);
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
        return request.route().kind().isSafeToRetry() && sent < request.route().maxAttempts();
    }

    private void start() throws ServiceException {
        List<EndpointState> candidates = candidates();
        Optional<EndpointState> copy =
                standby.flatMap(
                        held -> candidates.stream().filter(held::isSameProcess).findFirst());
        standby = Optional.empty();
        EndpointState endpoint =
                copy.or(() -> context.placement().choose(RelayWorkKind.PROMPT, candidates, failed))
                        .orElseThrow(() -> ended("local"));
        UpstreamConnection connection = connect(endpoint);
        if (sent > 0 && (!mayMove() || !context.budget().tryRetry(request.service().name()))) {
            connection.close();
            throw ended("local");
        }
        Optional<EndpointState> nextStandby =
                request.service().keepsStandbyCopies() && request.route().kind().isSafeToRetry()
                        ? context.placement().chooseStandby(candidates, endpoint, failed)
                        : Optional.empty();
        sent++;
        startedAtMs = context.clock().nowMs();
        context.metrics().recordAttempt(attemptReason(copy.isPresent()));
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
                sent,
                "candidates",
                candidates.size());
        StreamAttempt.Start start =
                new StreamAttempt.Start(endpoint, nextStandby, lastEventId, copy.isPresent());
        try {
            current = StreamAttempt.send(context, request, connection, start);
        } catch (UpstreamException e) {
            markFailed(endpoint);
            throw e;
        }
    }

    private List<EndpointState> candidates() throws CallerGoneException {
        Supplier<List<EndpointState>> known =
                () -> context.endpoints().get().ofService(request.service().name());
        return sent == 0 ? startup.awaitEndpoints(request, known, true) : known.get();
    }

    private String attemptReason(boolean fromCopy) {
        if (sent == 1) {
            return "first";
        }
        return fromCopy ? "resume_from_copy" : "resume_by_reading";
    }

    private UpstreamConnection connect(EndpointState endpoint) throws ServiceException {
        context.health().recordSelection(endpoint.id());
        try {
            return pool.take(endpoint, request.remainingMs(context.clock()));
        } catch (UpstreamException e) {
            markFailed(endpoint);
            unreachable++;
            if (unreachable > MAX_CONNECT_FAILURES) {
                throw ended(endpoint.address());
            }
            throw e;
        }
    }

    private void markFailed(EndpointState endpoint) {
        failed.add(endpoint);
        context.health().recordUnreachable(endpoint.id());
    }

    private void lost(UpstreamException cause) {
        if (current == null) {
            return;
        }
        EndpointId id = current.endpoint().id();
        markFailed(current.endpoint());
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
        standby = current.start().standby();
        moved = true;
        lastReply = Optional.of(Reply.outcomeUnknown("the endpoint broke off"));
        current.close();
        current = null;
    }

    private void refused(UpstreamAnswer answer, byte[] body) throws StreamEndedException {
        EndpointState endpoint = current.endpoint();
        boolean notRun = AnswerChecks.isNotRun(answer, request.headers());
        context.health().recordResponse(endpoint.id(), answer.status() >= 500 && !notRun);
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
        boolean copyMissing = notRun && current.start().fromCopy();
        if (!copyMissing) {
            failed.add(endpoint);
        }
        current.release(pool);
        current = null;
        Reply reply = new Reply(answer.status(), answer.forwarded(), body, "");
        if (!notRun) {
            lastReply = Optional.of(reply);
            if (answer.status() < 500 || !request.route().kind().isSafeToRetry()) {
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
