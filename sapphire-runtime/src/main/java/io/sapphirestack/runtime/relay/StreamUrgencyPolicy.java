package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.admission.ServiceTimes;
import io.sapphirestack.core.admission.StreamUrgency;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.OptionalInt;

/**
 * Urgency of streams by {@link StreamUrgency}, with times to the first event that this instance
 * observes. Thread-safe.
 */
final class StreamUrgencyPolicy implements UrgencyPolicy, AttemptObserver {

    private static final EventLog LOG = EventLog.of(StreamUrgencyPolicy.class);

    private final RelayContext context;
    private final ServiceTimes firstEventTimes;

    StreamUrgencyPolicy(RelayContext context) {
        this.context = context;
        this.firstEventTimes = new ServiceTimes(context.clock());
    }

    @Override
    public OptionalInt urgency(RelayedRequest request, boolean begun) {
        long ageMs = context.clock().nowMs() - request.exchange().receivedAtMs();
        long expectedMs = firstEventTimes.shortestMs(request.route().name()).orElse(0);
        StreamUrgency.Attempt attempt =
                new StreamUrgency.Attempt(request.route(), ageMs, expectedMs, begun);
        OptionalInt urgency =
                context.plan()
                        .get()
                        .map(plan -> StreamUrgency.of(plan, request.service().name(), attempt))
                        .orElse(OptionalInt.empty());
        if (urgency.isPresent()) {
            context.metrics().recordUrgency(urgency.getAsInt());
            log(request, attempt, urgency.getAsInt());
        }
        return urgency;
    }

    private static void log(RelayedRequest request, StreamUrgency.Attempt attempt, int urgency) {
        if (attempt.started() || attempt.isLate()) {
            LOG.info(
                    "SAP1945",
                    "A stream attempt has another urgency than a new stream of its route",
                    "request",
                    request.id(),
                    "urgency",
                    urgency,
                    "priority",
                    request.route().priority(),
                    "started",
                    attempt.started(),
                    "late",
                    attempt.isLate(),
                    "ageMs",
                    attempt.ageMs(),
                    "expectedMs",
                    attempt.expectedMs(),
                    "targetMs",
                    request.route().targetLatencyMs());
        }
    }

    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        // The head of a stream does not tell when its first event arrives.
    }

    @Override
    public void onEvents(
            RelayedRequest request,
            EndpointState endpoint,
            int events,
            boolean first,
            long waitedMs) {
        if (first) {
            firstEventTimes.record(request.route().name(), waitedMs);
        }
    }
}
