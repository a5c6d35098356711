package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.relay.RateLimitedPlacement;
import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.relay.StreamTimeouts;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Streamed request with all its attempts. Used by one thread. */
final class RelayedStream implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(RelayedStream.class);

    /** Interval between checks whether the caller is still connected, in milliseconds. */
    private static final long CALLER_CHECK_INTERVAL_MS = 200;

    /** Retry-After of a response if no endpoint accepts the stream, in milliseconds. */
    private static final long RETRY_AFTER_MS = 500;

    /** Failed connection attempts that a stream tolerates; one more ends it. */
    private static final int MAX_CONNECT_FAILURES = 12;

    private final RelayComponents components;
    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWaiter startupWaiter;
    private final CrashGuard crashGuard;
    private final RelayCandidates endpoints;
    private final AttemptObserver observer;
    private final UrgencyPolicy urgency;
    private final RateLimitedPlacement placement;
    private final RelayedRequest request;
    private final List<EndpointState> failed = new ArrayList<>();
    private StreamAttempt attempt;
    private UpstreamResponseHead firstResponse;
    private StreamStandby standby;
    private Optional<StreamStandby.Copy> copy = Optional.empty();
    private OptionalLong lastEventId;
    private Optional<RelayResponse> lastResponse = Optional.empty();
    private int attemptCount;
    private boolean moved;
    private int connectFailures;
    private long waitStartedAtMs;
    private long attemptStartedAtMs;
    private boolean attemptAnswered;
    private long probedAtMs;
    private long callerCheckedAtMs;

    RelayedStream(RelayComponents components, RelayedRequest request) {
        this.components = components;
        this.context = components.context();
        this.pool = components.pool();
        this.startupWaiter = components.startupWaiter();
        this.crashGuard = components.crashGuard();
        this.endpoints = components.candidates();
        this.observer = components.observer();
        this.urgency = components.urgency();
        this.placement = components.placement();
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

    /** Returns the response head of the endpoint that sent the first event, null before that. */
    UpstreamResponseHead firstResponse() {
        return firstResponse;
    }

    private StreamTimeouts timeouts() {
        long gapTargetMs = request.route().gapTargetMs();
        StreamAttempt.AttemptTarget target = attempt.target();
        if (attempt.hasReceivedEvent()) {
            return StreamTimeouts.betweenEvents(gapTargetMs, standby.isLive());
        }
        return firstResponse == null && !target.fromCopy()
                ? StreamTimeouts.beforeFirstEvent()
                : StreamTimeouts.afterMove(gapTargetMs, target.fromCopy());
    }

    /**
     * Waits for the next events, and moves the stream to another endpoint if the current one fails.
     *
     * @return complete events in order, empty at the end of the stream
     * @throws ServiceException if the stream cannot continue, its deadline has passed, or the
     *     caller closed its connection
     */
    List<EventParser.Event> nextEvents() throws ServiceException {
        waitStartedAtMs = context.clock().nowMs();
        while (true) {
            try {
                if (attempt == null) {
                    startAttempt();
                }
                List<EventParser.Event> events = pollAttempt();
                if (!events.isEmpty() || attempt != null && attempt.isComplete()) {
                    return events;
                }
            } catch (UpstreamException e) {
                handleAttemptFailure(e);
            }
        }
    }

    private List<EventParser.Event> pollAttempt() throws ServiceException {
        if (attempt.response().isEmpty()) {
            UpstreamResponseHead head = attempt.receiveHead(this::checkWait);
            observer.onHead(head, request, attempt.endpoint(), attemptStartedAtMs);
            if (!head.isSuccess()) {
                handleRefusal(head, attempt.readBody(this::checkWait));
                return List.of();
            }
        }
        checkDeadline();
        List<EventParser.Event> events = withoutDelivered(ownEvents(attempt.poll(this::checkWait)));
        if (!events.isEmpty() || attempt.isComplete()) {
            recordPause();
            if (firstResponse == null) {
                firstResponse = attempt.response().orElseThrow();
            }
            observer.onEvents(
                    request,
                    attempt.endpoint(),
                    events.size(),
                    !attemptAnswered,
                    context.clock().nowMs() - Math.max(waitStartedAtMs, attemptStartedAtMs));
            if (!attemptAnswered) {
                attemptAnswered = true;
                crashGuard.recordAnswer(request);
            }
            context.health().recordResponse(attempt.endpoint().id(), false);
        }
        return events;
    }

    private void recordPause() {
        long pauseMs = context.clock().nowMs() - waitStartedAtMs;
        boolean tooLong = firstResponse != null && pauseMs > request.route().gapTargetMs();
        if (moved) {
            context.metrics().recordResume(pauseMs);
        }
        if (moved || tooLong) {
            LOG.info(
                    "SAP1919",
                    "A stream continues after a pause",
                    "request",
                    request.id(),
                    "endpoint",
                    attempt.endpoint().id(),
                    "moved",
                    moved,
                    "fromCopy",
                    attempt.target().fromCopy(),
                    "pauseMs",
                    pauseMs,
                    "lastEvent",
                    lastEventId);
        }
        moved = false;
    }

    /** Fails if an endpoint sent text that is no event of this stream, such as that of an error. */
    private List<EventParser.Event> ownEvents(List<EventParser.Event> events)
            throws UpstreamException {
        if (!events.stream().allMatch(e -> e.belongsToStream(lastEventId.isPresent()))) {
            throw new UpstreamException(
                    "receive",
                    attempt.endpoint().address(),
                    "the endpoint sent text that is no event of the stream",
                    true,
                    null);
        }
        return events;
    }

    /** Removes events that the caller already has, and records the last identifier. */
    private List<EventParser.Event> withoutDelivered(List<EventParser.Event> events) {
        List<EventParser.Event> newEvents =
                events.stream()
                        .filter(
                                event ->
                                        event.id().isEmpty()
                                                || lastEventId.isEmpty()
                                                || event.id().get() > lastEventId.getAsLong())
                        .toList();
        newEvents.forEach(event -> event.id().ifPresent(id -> lastEventId = OptionalLong.of(id)));
        return newEvents;
    }

    /** Fails if the deadline has passed, which also ends a stream whose events still arrive. */
    private void checkDeadline() throws RelayTimeoutException {
        if (request.remainingMs(context.clock()) <= 0) {
            throw new RelayTimeoutException("stream", attempt.endpoint().address());
        }
    }

    /** Fails if the caller has no event yet and the prompt is quarantined. */
    private void checkQuarantine(String peer) throws RelayFailedException {
        if (firstResponse != null) {
            return;
        }
        Optional<RelayResponse> refusal = crashGuard.refusal(request, attemptCount > 0);
        if (refusal.isPresent()) {
            throw new RelayFailedException(peer, refusal.get());
        }
    }

    private void checkWait() throws ServiceException {
        checkDeadline();
        checkQuarantine(attempt.endpoint().address());
        long nowMs = context.clock().nowMs();
        String peer = attempt.endpoint().address();
        if (nowMs - callerCheckedAtMs >= CALLER_CHECK_INTERVAL_MS) {
            callerCheckedAtMs = nowMs;
            request.checkActive(context.clock(), peer);
        }
        if (attempt.hasReceivedEvent()) {
            standby.maintain();
        }
        StreamTimeouts timeouts = timeouts();
        long eventGapMs = nowMs - Math.max(waitStartedAtMs, attemptStartedAtMs);
        if (eventGapMs >= timeouts.moveAfterMs() && isRetryAllowed()) {
            throw new UpstreamException(
                    "silence", peer, "no event for " + eventGapMs + " ms", true, null);
        }
        long unprobedMs =
                nowMs - Math.max(Math.max(waitStartedAtMs, attemptStartedAtMs), probedAtMs);
        if (unprobedMs >= timeouts.probeAfterMs() && isRetryAllowed()) {
            boolean reachable = pool.probe(attempt.endpoint());
            probedAtMs = context.clock().nowMs();
            if (!reachable) {
                throw new UpstreamException(
                        "probe",
                        peer,
                        "connection probe failed; no event for " + eventGapMs + " ms",
                        true,
                        null);
            }
        }
    }

    private boolean isRetryAllowed() {
        return request.route().kind().isSafeToRetry()
                && attemptCount < request.route().maxAttempts();
    }

    private void startAttempt() throws ServiceException {
        checkQuarantine("local");
        if (firstResponse != null && crashGuard.isQuarantined(request)) {
            throw streamFailed("local");
        }
        List<EndpointState> candidates = candidates();
        Optional<StreamStandby.Copy> usedCopy = copy;
        copy = Optional.empty();
        Optional<EndpointState> copyHolder = usedCopy.map(StreamStandby.Copy::holder);
        copyHolder.ifPresent(context.rateLimiter()::acquire);
        EndpointState endpoint =
                copyHolder
                        .or(() -> chooseEndpoint(candidates))
                        .orElseThrow(() -> unplaced(candidates));
        UpstreamConnection connection = connect(endpoint);
        if (endpoints.isWithdrawn(request, endpoint)) {
            connection.close();
            startAttempt();
            return;
        }
        if (attemptCount > 0
                && (!isRetryAllowed()
                        || !context.retryBudget().tryRetry(request.service().name()))) {
            connection.close();
            throw streamFailed("local");
        }
        Optional<EndpointState> nextStandbyHolder =
                request.service().keepsStandbyCopies() && request.route().kind().isSafeToRetry()
                        ? context.placement().chooseStandby(endpoints.of(request), endpoint, failed)
                        : Optional.empty();
        attemptCount++;
        attemptStartedAtMs = context.clock().nowMs();
        attemptAnswered = false;
        context.metrics().recordAttempt(attemptReason(copyHolder.isPresent()));
        LOG.info(
                "SAP1914",
                "A stream attempt starts",
                "request",
                request.id(),
                "endpoint",
                endpoint.id(),
                "standby",
                nextStandbyHolder.map(e -> e.id().value()).orElse(""),
                "fromCopy",
                copyHolder.isPresent(),
                "attempt",
                attemptCount,
                "lastEvent",
                lastEventId,
                "candidates",
                candidates.size(),
                "promptParts",
                request.promptParts().shared());
        StreamAttempt.AttemptTarget target =
                new StreamAttempt.AttemptTarget(
                        endpoint,
                        nextStandbyHolder,
                        lastEventId,
                        usedCopy.map(StreamStandby.Copy::reference),
                        urgency.urgency(request));
        standby = new StreamStandby(components, request, endpoint, nextStandbyHolder, failed);
        try {
            attempt = StreamAttempt.send(context, request, connection, target);
        } catch (UpstreamException e) {
            standby.end(false);
            markFailed(endpoint);
            lastResponse = Optional.of(RelayResponse.outcomeUnknown("the request was partly sent"));
            throw e;
        }
    }

    /** Chooses the endpoint of an attempt without a copy; a stream that has begun has priority. */
    private Optional<EndpointState> chooseEndpoint(List<EndpointState> candidates) {
        return firstResponse == null
                ? placement.choose(RelayWorkKind.PROMPT, candidates, failed)
                : placement.chooseToContinue(RelayWorkKind.PROMPT, candidates, failed);
    }

    private RelayFailedException unplaced(List<EndpointState> candidates) {
        if (candidates.isEmpty() || lastResponse.isPresent()) {
            return streamFailed("local");
        }
        long retryAfterMs = context.rateLimiter().retryAfterMs(candidates);
        return new RelayFailedException("local", RelayResponse.rateLimited(retryAfterMs));
    }

    private List<EndpointState> candidates() throws CallerDisconnectedException {
        if (attemptCount == 0) {
            startupWaiter.awaitEndpoints(request, () -> endpoints.known(request), true);
        }
        return endpoints.of(request);
    }

    private String attemptReason(boolean fromCopy) {
        if (attemptCount == 1) {
            return "first";
        }
        return fromCopy ? "resume_from_copy" : "resume_by_reading";
    }

    private UpstreamConnection connect(EndpointState endpoint) throws ServiceException {
        context.health().recordSelection(endpoint.id());
        try {
            return pool.acquire(endpoint, request);
        } catch (UpstreamException e) {
            markFailed(endpoint);
            connectFailures++;
            if (connectFailures > MAX_CONNECT_FAILURES) {
                throw streamFailed(endpoint.address());
            }
            throw e;
        }
    }

    private void markFailed(EndpointState endpoint) {
        failed.add(endpoint);
        context.health().recordUnreachable(endpoint.id());
    }

    private void handleAttemptFailure(UpstreamException failure) {
        if (attempt == null) {
            return;
        }
        EndpointId id = attempt.endpoint().id();
        long nowMs = context.clock().nowMs();
        long attemptMs = nowMs - attemptStartedAtMs;
        boolean reachable =
                attempt.hasReceivedEvent()
                        || crashGuard.recordFailure(
                                request, attempt.endpoint(), attemptStartedAtMs, attemptCount > 1);
        markFailed(attempt.endpoint());
        observer.onFailure(request, attempt.endpoint(), attemptStartedAtMs);
        LOG.info(
                "SAP1915",
                "A stream attempt failed",
                "request",
                request.id(),
                "endpoint",
                id,
                "lastEvent",
                lastEventId,
                "silentMs",
                context.clock().nowMs() - waitStartedAtMs,
                "attemptMs",
                attemptMs,
                "eventReceived",
                attempt.hasReceivedEvent(),
                "reachable",
                reachable,
                "fingerprint",
                request.fingerprint(),
                "promptParts",
                request.promptParts().shared(),
                "cause",
                failure.getMessage());
        // No copy exists before the first event: the state of a request is copied once it runs.
        copy = attempt.hasReceivedEvent() ? standby.copy() : Optional.empty();
        standby.end(false);
        moved = true;
        lastResponse =
                Optional.of(
                        RelayResponse.outcomeUnknown(
                                "the stream from the endpoint failed before its end"));
        attempt.close();
        attempt = null;
    }

    private void handleRefusal(UpstreamResponseHead head, byte[] body) throws RelayFailedException {
        EndpointState endpoint = attempt.endpoint();
        boolean notRun = ResponseChecks.isNotRun(head, request.headers());
        context.health().recordResponse(endpoint.id(), head.status() >= 500 && !notRun);
        LOG.info(
                "SAP1916",
                "An endpoint refused a stream",
                "request",
                request.id(),
                "endpoint",
                endpoint.id(),
                "status",
                head.status(),
                "notRun",
                notRun);
        boolean isCopyMissing = notRun && attempt.target().fromCopy();
        if (!isCopyMissing) {
            failed.add(endpoint);
        }
        standby.end(false);
        attempt.release(pool);
        attempt = null;
        if (!notRun) {
            RelayResponse response = RelayResponse.ofEndpoint(head, body);
            lastResponse = Optional.of(response);
            if (head.status() < 500 || !request.route().kind().isSafeToRetry()) {
                throw new RelayFailedException(endpoint.address(), response);
            }
        }
    }

    private RelayFailedException streamFailed(String peer) {
        return new RelayFailedException(
                peer,
                lastResponse.orElseGet(
                        () ->
                                endpoints.refusal(
                                        request,
                                        "no endpoint accepted the stream",
                                        RETRY_AFTER_MS)));
    }

    @Override
    public void close() {
        if (attempt == null) {
            return;
        }
        standby.end(attempt.isComplete());
        if (attempt.isComplete()) {
            attempt.release(pool);
        } else {
            attempt.close();
        }
    }
}
