package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Relays requests whose answer is sent as a whole. */
final class PlainRelay {

    private static final EventLog LOG = EventLog.of(PlainRelay.class);

    /** Connections that are tried for one request before it is refused as not run. */
    private static final int MAX_CONNECT_FAILURES = 4;

    /** When a caller may come back after all places were taken, in milliseconds. */
    private static final long BUSY_RETRY_MS = 100;

    /** When a caller may come back if no endpoint can be reached, in milliseconds. */
    private static final long UNREACHABLE_RETRY_MS = 300;

    private static final String STEP_CONNECT = "connect";

    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWait startup;

    PlainRelay(RelayContext context, UpstreamPool pool, StartupWait startup) {
        this.context = context;
        this.pool = pool;
        this.startup = startup;
    }

    /** What an endpoint said to one attempt. */
    private record Outcome(Reply reply, boolean notRun) {}

    /** State of one request over its attempts. */
    private static final class Attempts {
        private final List<EndpointState> tried = new ArrayList<>();
        private int sent;
        private int unreachable;
        private Optional<Reply> last = Optional.empty();
    }

    /**
     * Relays a request.
     *
     * @param request admitted request
     * @return answer to the caller
     * @throws CallerGoneException if the caller left
     */
    Reply relay(RelayedRequest request) throws CallerGoneException {
        Attempts attempts = new Attempts();
        context.budget().recordRequest(request.service().name());
        while (true) {
            Optional<EndpointState> endpoint =
                    context.placement()
                            .choose(
                                    RelayWorkKind.REQUEST,
                                    startup.awaitEndpoints(
                                            request, () -> endpoints(request), false),
                                    attempts.tried);
            if (endpoint.isEmpty()) {
                return attempts.last.orElseGet(
                        () -> Reply.notRun("no endpoint is known", UNREACHABLE_RETRY_MS));
            }
            Optional<Reply> reply = attempt(request, endpoint.get(), attempts);
            if (reply.isPresent()) {
                return reply.get();
            }
        }
    }

    private List<EndpointState> endpoints(RelayedRequest request) {
        return context.endpoints().get().ofService(request.service().name());
    }

    /** Makes one attempt; returns the final answer, or empty if another attempt is due. */
    private Optional<Reply> attempt(
            RelayedRequest request, EndpointState endpoint, Attempts attempts)
            throws CallerGoneException {
        attempts.tried.add(endpoint);
        try {
            Outcome outcome = send(request, endpoint, attempts);
            attempts.sent++;
            return decide(request, outcome, attempts);
        } catch (UpstreamException e) {
            context.health().recordUnreachable(endpoint.id());
            LOG.info(
                    "SAP1910",
                    "An endpoint gave no whole answer",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "sent",
                    e.sent(),
                    "cause",
                    e.getMessage());
            return e.sent() ? afterLoss(request, attempts) : afterConnectFailure(attempts);
        } catch (RelayTimeoutException e) {
            return Optional.of(
                    attempts.sent == 0 && e.step().equals(STEP_CONNECT)
                            ? Reply.notRun("the time was over before it was sent", BUSY_RETRY_MS)
                            : Reply.timedOut("the endpoint did not answer in time"));
        } catch (CallerGoneException e) {
            throw e;
        } catch (ServiceException e) {
            throw new IllegalStateException("unexpected failure of a relay", e);
        }
    }

    private Outcome send(RelayedRequest request, EndpointState endpoint, Attempts attempts)
            throws ServiceException {
        long leftMs = request.remainingMs(context.clock());
        if (leftMs <= 0) {
            throw new RelayTimeoutException(
                    attempts.sent == 0 ? STEP_CONNECT : "repeat", endpoint.address());
        }
        context.health().recordSelection(endpoint.id());
        context.metrics().recordAttempt(attempts.sent == 0 ? "first" : "repeat");
        UpstreamConnection connection = pool.take(endpoint, leftMs);
        try (DispatchPermit permit =
                context.inFlight().begin(endpoint.id(), RelayWorkKind.REQUEST.weight())) {
            connection.send(
                    request.exchange().method(),
                    request.exchange().target(),
                    request.fieldsFor(endpoint, context.clock()),
                    request.exchange().body());
            Outcome outcome = receive(request, connection);
            pool.release(connection);
            return outcome;
        } catch (ServiceException e) {
            connection.close();
            throw e;
        }
    }

    private Outcome receive(RelayedRequest request, UpstreamConnection connection)
            throws ServiceException {
        EndpointState endpoint = connection.endpoint();
        UpstreamConnection.WaitCheck check =
                () -> request.check(context.clock(), endpoint.address());
        while (true) {
            UpstreamAnswer answer = connection.receiveHeader(check);
            byte[] body = connection.readBody(check);
            if (AnswerChecks.belongsTo(answer, request)) {
                boolean notRun = AnswerChecks.isNotRun(answer, request.headers());
                AnswerChecks.requireSeal(answer, request.headers(), endpoint);
                context.health().recordResponse(endpoint.id(), answer.status() >= 500 && !notRun);
                return new Outcome(
                        new Reply(answer.status(), answer.forwarded(), body, ""), notRun);
            }
            LOG.info(
                    "SAP1911",
                    "A late answer to another request was dropped",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id());
        }
    }

    private Optional<Reply> decide(RelayedRequest request, Outcome outcome, Attempts attempts) {
        Reply reply = outcome.reply();
        if (outcome.notRun()) {
            if (mayRepeat(request, attempts)) {
                return Optional.empty();
            }
            return Optional.of(
                    attempts.last.orElseGet(
                            () -> Reply.notRun("the endpoints are full", BUSY_RETRY_MS)));
        }
        if (reply.status() >= 500) {
            attempts.last = Optional.of(reply);
            if (request.route().kind().isSafeToRetry() && mayRepeat(request, attempts)) {
                return Optional.empty();
            }
        }
        return Optional.of(reply);
    }

    private Optional<Reply> afterLoss(RelayedRequest request, Attempts attempts) {
        attempts.sent++;
        attempts.last =
                Optional.of(
                        attempts.last.orElseGet(
                                () -> Reply.outcomeUnknown("the endpoint broke off")));
        return request.route().kind().isSafeToRetry() && mayRepeat(request, attempts)
                ? Optional.empty()
                : attempts.last;
    }

    private static Optional<Reply> afterConnectFailure(Attempts attempts) {
        attempts.unreachable++;
        if (attempts.unreachable < MAX_CONNECT_FAILURES) {
            return Optional.empty();
        }
        return Optional.of(
                attempts.last.orElseGet(
                        () -> Reply.notRun("no endpoint can be reached", UNREACHABLE_RETRY_MS)));
    }

    private boolean mayRepeat(RelayedRequest request, Attempts attempts) {
        return attempts.sent < request.route().maxAttempts()
                && request.remainingMs(context.clock()) > 0
                && context.budget().tryRetry(request.service().name());
    }
}
