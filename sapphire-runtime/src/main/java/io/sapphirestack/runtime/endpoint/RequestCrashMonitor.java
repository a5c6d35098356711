package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Finds out whether endpoints crashed under the requests that were sent to them, and tells which
 * requests must not be sent for now. Thread-safe.
 */
public final class RequestCrashMonitor implements AutoCloseable {

    /** Time within which a running endpoint accepts a connection, in milliseconds. */
    private static final long PROBE_TIMEOUT_MS = 120;

    private final RequestQuarantine quarantine;
    private final Predicate<EndpointState> accepts;
    private final Consumer<SuspectedCrash> crashListener;
    private final MillisClock clock;
    private final CrashProber prober;

    /**
     * Creates a monitor.
     *
     * @param quarantine crashes of all instances by request
     * @param accepts returns whether an endpoint accepts a new connection
     * @param crashListener called after a crash was recorded, by any thread
     * @param clock monotonic clock
     */
    public RequestCrashMonitor(
            RequestQuarantine quarantine,
            Predicate<EndpointState> accepts,
            Consumer<SuspectedCrash> crashListener,
            MillisClock clock) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.accepts = Objects.requireNonNull(accepts, "accepts");
        this.crashListener = Objects.requireNonNull(crashListener, "crashListener");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.prober = new CrashProber(this::isReachable, clock);
    }

    /**
     * Creates a monitor that opens connections to endpoints to test them.
     *
     * @param quarantine crashes of all instances by request
     * @param clock monotonic clock
     * @return monitor
     */
    public static RequestCrashMonitor create(RequestQuarantine quarantine, MillisClock clock) {
        return new RequestCrashMonitor(
                quarantine, RequestCrashMonitor::acceptsConnection, crash -> {}, clock);
    }

    private static boolean acceptsConnection(EndpointState endpoint) {
        try (EndpointConnection connection =
                EndpointConnection.open(endpoint.address(), PROBE_TIMEOUT_MS, PROBE_TIMEOUT_MS)) {
            return !connection.address().isEmpty();
        } catch (EndpointException e) {
            return false;
        }
    }

    /**
     * Returns how long a request must not be sent to endpoints.
     *
     * @param request fingerprint of the request
     * @return remaining time in milliseconds, positive; empty if the request may be sent
     */
    public OptionalLong remainingMs(RequestFingerprint request) {
        return quarantine.remainingMs(request);
    }

    /**
     * Records that an endpoint has answered a request, or has begun to.
     *
     * @param request fingerprint of the request
     * @return whether the request was suspected of a crash
     */
    public boolean recordAnswer(RequestFingerprint request) {
        return quarantine.recordAnswer(request);
    }

    /**
     * Records that an attempt failed without an answer. If the endpoint does not accept a
     * connection either, it has crashed, and the request may be the cause. An endpoint that still
     * accepts one is tested again later.
     *
     * @param request fingerprint of the request that was sent
     * @param promptParts shared parts of its prompt
     * @param endpoint endpoint of the attempt
     * @param sentAtMs reported send time, see {@link RequestQuarantine#reportedSentAtMs}, on the
     *     monotonic clock, in milliseconds
     * @return whether the endpoint accepted a connection
     */
    public boolean recordFailure(
            RequestFingerprint request,
            PromptParts promptParts,
            EndpointState endpoint,
            long sentAtMs) {
        prober.testNow(request);
        SuspectedCrash suspected =
                new SuspectedCrash(request, promptParts, endpoint, sentAtMs, clock.nowMs());
        boolean reachable = isReachable(suspected);
        if (reachable) {
            prober.add(suspected);
        }
        return reachable;
    }

    /**
     * Records that an attempt ended without an answer because its deadline had passed. The endpoint
     * is tested later, because the caller does not wait.
     *
     * @param request fingerprint of the request that was sent
     * @param promptParts shared parts of its prompt
     * @param endpoint endpoint of the attempt
     * @param sentAtMs reported send time, see {@link RequestQuarantine#reportedSentAtMs}, on the
     *     monotonic clock, in milliseconds
     */
    public void recordTimeout(
            RequestFingerprint request,
            PromptParts promptParts,
            EndpointState endpoint,
            long sentAtMs) {
        prober.add(new SuspectedCrash(request, promptParts, endpoint, sentAtMs, clock.nowMs()));
    }

    /** Tests the endpoint of an attempt, and records its crash if it is not reachable. */
    private boolean isReachable(SuspectedCrash suspected) {
        EndpointState endpoint = suspected.endpoint();
        if (accepts.test(endpoint)) {
            return true;
        }
        quarantine.recordCrash(
                endpoint.id(),
                endpoint.epochMs(),
                suspected.request(),
                clock.nowMs() - suspected.sentAtMs());
        crashListener.accept(suspected);
        return false;
    }

    /** Returns the number of requests that are refused now. */
    public int quarantinedRequests() {
        return quarantine.size();
    }

    @Override
    public void close() {
        prober.close();
    }
}
