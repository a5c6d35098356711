package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.EndpointSignals;
import io.sapphirestack.core.relay.RetryAfter;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;

/** Reads what endpoints say about themselves in their responses. Thread-safe. */
final class EndpointSignalObserver implements AttemptObserver {

    private static final EventLog LOG = EventLog.of(EndpointSignalObserver.class);

    private static final String RETRY_AFTER = "Retry-After";
    private static final String DATE = "Date";

    /** Longest part of a malformed value that is logged, in characters. */
    private static final int MAX_LOGGED_CHARS = 80;

    private final EndpointSignalTable signals;
    private final Metrics metrics;
    private final MillisClock clock;
    private final MillisClock wallClock;

    /**
     * Creates an observer.
     *
     * @param signals state of the endpoints
     * @param metrics metrics of this instance
     * @param clock monotonic clock
     * @param wallClock wall clock, used for dates of responses that do not name their own time
     */
    EndpointSignalObserver(
            EndpointSignalTable signals,
            Metrics metrics,
            MillisClock clock,
            MillisClock wallClock) {
        this.signals = signals;
        this.metrics = metrics;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Records the signals in a response; it is forwarded whatever they are. */
    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        RelayHeaders names = request.headers();
        EndpointSignals.RawValues raw =
                new EndpointSignals.RawValues(
                        head.status(),
                        head.headerValues(names.load()),
                        head.headerValues(names.leaving()),
                        head.headerValues(RETRY_AFTER));
        if (raw.isEmpty()) {
            return;
        }
        EndpointSignals parsed = EndpointSignals.parse(raw, () -> senderNowMs(head));
        parsed.malformed().forEach(field -> metrics.recordMalformedSignal(field.name()));
        EndpointSignalTable.Change change = signals.record(endpoint, parsed);
        log(change, raw, request, endpoint, sentAtMs);
    }

    /** Prefers the time that the response names: the clocks of the machines may differ. */
    private long senderNowMs(UpstreamResponseHead head) {
        return head.header(DATE).map(RetryAfter::parseDateMs).stream()
                .flatMapToLong(date -> date.stream())
                .findFirst()
                .orElseGet(wallClock::nowMs);
    }

    private void log(
            EndpointSignalTable.Change change,
            EndpointSignals.RawValues raw,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        if (change.leavingBegan()) {
            metrics.recordEndpointSignal("leaving");
            LOG.info(
                    "SAP1956",
                    "An endpoint is leaving and gets no more requests",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "epochMs",
                    endpoint.epochMs(),
                    "requestAgeMs",
                    clock.nowMs() - sentAtMs);
        }
        if (change.backoffBeganMs().isPresent()) {
            metrics.recordEndpointSignal("backoff");
            LOG.info(
                    "SAP1957",
                    "An endpoint wants no requests for some time",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "retryAfter",
                    raw.retryAfter().get(0),
                    "backoffMs",
                    change.backoffBeganMs(),
                    "requestAgeMs",
                    clock.nowMs() - sentAtMs);
        }
        change.newlyMalformed().forEach(field -> logMalformed(field, raw, request, endpoint));
    }

    private static void logMalformed(
            EndpointSignals.Field field,
            EndpointSignals.RawValues raw,
            RelayedRequest request,
            EndpointState endpoint) {
        LOG.warn(
                "SAP1959",
                "An endpoint sends a malformed signal, which is ignored",
                "request",
                request.id(),
                "endpoint",
                endpoint.id(),
                "field",
                field,
                "value",
                shortened(raw.of(field).toString()));
    }

    private static String shortened(String value) {
        return value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARS));
    }
}
