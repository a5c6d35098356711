package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.StartupGracePeriod;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Delays requests at an instance that has just started until the instance knows what it needs to
 * serve them: the traffic plan and the endpoints. Thread-safe.
 */
final class StartupWaiter {

    private static final EventLog LOG = EventLog.of(StartupWaiter.class);

    /** Poll interval in milliseconds; short compared with the latency of a plain request. */
    private static final long POLL_INTERVAL_MS = 15;

    /**
     * Time without a new endpoint after which the list counts as complete, in milliseconds. The
     * heartbeats of about ten endpoints arrive at much shorter intervals.
     */
    private static final long STABLE_LIST_MS = 250;

    private final StartupGracePeriod gracePeriod;
    private final MillisClock clock;
    private final BooleanSupplier refusing;

    StartupWaiter(MillisClock clock, BooleanSupplier refusing) {
        this.gracePeriod = new StartupGracePeriod(clock.nowMs());
        this.clock = clock;
        this.refusing = refusing;
    }

    /**
     * Waits until a value is known, for as long as the startup grace period allows.
     *
     * @param exchange request that needs it
     * @param callerTimeoutMs timeout of the request, in milliseconds
     * @param lookup returns the value, empty while it is not known
     * @return the value, empty if it did not become known in time or the instance is stopping
     * @throws CallerDisconnectedException if the caller closed its connection while it waited
     */
    <T> Optional<T> await(
            HttpServerExchange exchange, long callerTimeoutMs, Supplier<Optional<T>> lookup)
            throws CallerDisconnectedException {
        long waitUntilMs = gracePeriod.waitUntilMs(exchange.receivedAtMs(), callerTimeoutMs);
        Optional<T> known = lookup.get();
        while (known.isEmpty() && clock.nowMs() < waitUntilMs && !refusing.getAsBoolean()) {
            if (exchange.isCallerDisconnected()) {
                throw new CallerDisconnectedException("start");
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
            known = lookup.get();
        }
        return known;
    }

    /**
     * Waits for the endpoints of a service.
     *
     * @param request request that needs one
     * @param lookup returns the endpoints known so far
     * @param complete whether to wait until the list counts as complete, so that requests are
     *     distributed over all endpoints and not only the first ones
     * @return the endpoints, possibly none
     * @throws CallerDisconnectedException if the caller closed its connection while it waited
     */
    List<EndpointState> awaitEndpoints(
            RelayedRequest request, Supplier<List<EndpointState>> lookup, boolean complete)
            throws CallerDisconnectedException {
        if (!gracePeriod.isActive(clock.nowMs())) {
            return lookup.get();
        }
        long waitStartedAtMs = clock.nowMs();
        StableListFilter stableList = new StableListFilter(complete ? STABLE_LIST_MS : 0);
        long callerTimeoutMs = request.deadlineAtMs() - request.exchange().receivedAtMs();
        List<EndpointState> known =
                await(request.exchange(), callerTimeoutMs, () -> stableList.ifStable(lookup.get()))
                        .orElseGet(lookup);
        long waitedMs = clock.nowMs() - waitStartedAtMs;
        if (waitedMs >= POLL_INTERVAL_MS) {
            LOG.info(
                    "SAP1924",
                    "A request waited for endpoints because the instance has just started",
                    "request",
                    request.id(),
                    "endpoints",
                    known.size(),
                    "waitedMs",
                    waitedMs);
        }
        return known;
    }

    /** Passes a list on once it is not empty and has stopped growing. Used by one thread. */
    private final class StableListFilter {
        private final long stableMs;
        private int size;
        private long lastGrowthAtMs = clock.nowMs();

        StableListFilter(long stableMs) {
            this.stableMs = stableMs;
        }

        Optional<List<EndpointState>> ifStable(List<EndpointState> list) {
            long nowMs = clock.nowMs();
            if (list.size() > size) {
                size = list.size();
                lastGrowthAtMs = nowMs;
            }
            return Optional.of(list)
                    .filter(known -> !known.isEmpty() && nowMs - lastGrowthAtMs >= stableMs);
        }
    }
}
