package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.core.admission.PlainAdmission;
import io.sapphirestack.core.admission.ServiceCapacity;
import io.sapphirestack.core.admission.ServiceTimes;
import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Admits or refuses plain requests by {@link PlainAdmission}, with service times that this instance
 * observes. Streams, and requests of a service with an endpoint whose load or pace is not known,
 * are admitted at once. Thread-safe.
 */
final class PlainRequestAdmission implements RelayAdmission, AttemptObserver {

    private static final EventLog LOG = EventLog.of(PlainRequestAdmission.class);

    private static final Admission ADMITTED = () -> {};

    private final RelayContext context;
    private final RelayCandidates candidates;
    private final AdmissionSettings settings;
    private final ServiceCapacity capacity;
    private final PlainAdmission policy;
    private final ServiceTimes workTimes;
    private final ServiceTimes callerTimeouts;

    PlainRequestAdmission(RelayContext context, RelayCandidates candidates) {
        this.context = context;
        this.candidates = candidates;
        this.settings = context.admission();
        this.capacity =
                new ServiceCapacity(
                        context.loads(),
                        context.inFlight(),
                        settings.maxReportAgeMs(),
                        context.clock());
        this.policy = new PlainAdmission(() -> ThreadLocalRandom.current().nextDouble());
        this.workTimes = new ServiceTimes(context.clock());
        this.callerTimeouts = new ServiceTimes(context.clock());
    }

    /**
     * Times of a request that a decision depends on, in milliseconds. If the route has no target
     * latency, the deadline is the target.
     */
    private record Times(long targetInMs, long deadlineInMs, double workMs) {}

    @Override
    public Admission admit(RelayedRequest request) throws RelayFailedException {
        if (!settings.refuseLate() || request.route().kind().isStream()) {
            return ADMITTED;
        }
        Times times = times(request);
        Optional<ServiceCapacity.Estimate> estimate =
                capacity.estimate(candidates.of(request), times.workMs());
        if (estimate.isPresent()) {
            decide(request, times, estimate.get());
        }
        return ADMITTED;
    }

    private Times times(RelayedRequest request) {
        long nowMs = context.clock().nowMs();
        long ageMs = nowMs - request.exchange().receivedAtMs() + earlierAgeMs(request);
        long deadlineInMs = request.deadlineAtMs() - nowMs;
        long targetMs = request.route().targetLatencyMs();
        return new Times(
                targetMs > 0 ? targetMs - ageMs : deadlineInMs,
                deadlineInMs,
                workTimes.meanMs(request.route().name()).orElse(0));
    }

    /** Returns how long the caller has waited before this request, by its deadline. */
    private long earlierAgeMs(RelayedRequest request) {
        long timeoutMs = request.deadlineAtMs() - request.exchange().receivedAtMs();
        if (!settings.ageFromDeadline() || timeoutMs < 0) {
            return 0;
        }
        callerTimeouts.record(request.route().name(), timeoutMs);
        return callerTimeouts.longestMs(request.route().name()).orElse(timeoutMs) - timeoutMs;
    }

    private void decide(RelayedRequest request, Times times, ServiceCapacity.Estimate estimate)
            throws RelayFailedException {
        PlainAdmission.Decision decision =
                policy.decide(times.targetInMs(), times.deadlineInMs(), estimate);
        context.metrics().recordAdmission(decision.name());
        if (decision.isSent()) {
            return;
        }
        long retryAfterMs = policy.retryAfterMs(times.deadlineInMs(), estimate);
        logRefusal(request, times, estimate, decision, retryAfterMs);
        throw new RelayFailedException(
                "local", RelayResponse.notRun(reason(decision), retryAfterMs));
    }

    private static String reason(PlainAdmission.Decision decision) {
        return decision == PlainAdmission.Decision.REFUSE_HOPELESS
                ? "the service is full and the request cannot end before its deadline"
                : "the service is full and the response would be late";
    }

    private static void logRefusal(
            RelayedRequest request,
            Times times,
            ServiceCapacity.Estimate estimate,
            PlainAdmission.Decision decision,
            long retryAfterMs) {
        LOG.info(
                "SAP1946",
                "A request was refused because its service is full",
                "request",
                request.id(),
                "service",
                request.service().name(),
                "route",
                request.route().name(),
                "decision",
                decision,
                "targetInMs",
                times.targetInMs(),
                "deadlineInMs",
                times.deadlineInMs(),
                "workMs",
                Math.round(times.workMs()),
                "startInMs",
                Math.round(estimate.startInMs()),
                "endInMs",
                Math.round(estimate.endInMs()),
                "reportAgeMs",
                estimate.oldestReportMs(),
                "retryAfterMs",
                retryAfterMs);
    }

    /** Records the service time of a request at an endpoint where no request waits. */
    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        if (request.route().kind().isStream() || !head.isSuccess()) {
            return;
        }
        Optional<ObservedLoad> load = context.loads().of(endpoint);
        if (load.isPresent() && load.get().waiting() == 0) {
            long timeMs = context.clock().nowMs() - sentAtMs;
            workTimes.record(request.route().name(), Math.round(timeMs / load.get().paceFactor()));
        }
    }
}
