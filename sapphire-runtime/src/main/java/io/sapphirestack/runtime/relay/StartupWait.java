package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.StartupGracePeriod;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Lets requests wait while a started instance learns what it needs to serve them. Thread-safe. */
final class StartupWait {

    private static final EventLog LOG = EventLog.of(StartupWait.class);

    /** Time between two looks, in milliseconds; short beside the time of a plain request. */
    private static final long LOOK_MS = 15;

    /**
     * The list of endpoints counts as complete after this time without a new one, in milliseconds;
     * heartbeats of some ten endpoints follow each other far faster.
     */
    private static final long SETTLED_MS = 250;

    private final StartupGracePeriod patience;
    private final MillisClock clock;
    private final BooleanSupplier refusing;

    StartupWait(MillisClock clock, BooleanSupplier refusing) {
        this.patience = new StartupGracePeriod(clock.nowMs());
        this.clock = clock;
        this.refusing = refusing;
    }

    /**
     * Waits for something that is not known yet.
     *
     * @param exchange request that needs it
     * @param callerMs time that the caller gives the request, in milliseconds
     * @param look returns what is known
     * @return what is known, empty if it did not become known in time or the instance stops
     * @throws CallerGoneException if the caller left meanwhile
     */
    <T> Optional<T> await(Exchange exchange, long callerMs, Supplier<Optional<T>> look)
            throws CallerGoneException {
        long untilMs = patience.waitUntilMs(exchange.receivedAtMs(), callerMs);
        Optional<T> known = look.get();
        while (known.isEmpty() && clock.nowMs() < untilMs && !refusing.getAsBoolean()) {
            if (exchange.isCallerGone()) {
                throw new CallerGoneException("start");
            }
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
            known = look.get();
        }
        return known;
    }

    /**
     * Waits for the endpoints of a service.
     *
     * @param request request that needs one
     * @param list returns the endpoints that are known
     * @param all whether to wait for a complete list, so that work spreads over all endpoints
     * @return the endpoints, possibly none
     * @throws CallerGoneException if the caller left meanwhile
     */
    List<EndpointState> awaitEndpoints(
            RelayedRequest request, Supplier<List<EndpointState>> list, boolean all)
            throws CallerGoneException {
        if (!patience.isActive(clock.nowMs())) {
            return list.get();
        }
        long sinceMs = clock.nowMs();
        Settling settling = new Settling(all ? SETTLED_MS : 0);
        long callerMs = request.deadlineAtMs() - request.exchange().receivedAtMs();
        List<EndpointState> known =
                await(request.exchange(), callerMs, () -> settling.filter(list.get()))
                        .orElseGet(list);
        long waitedMs = clock.nowMs() - sinceMs;
        if (waitedMs >= LOOK_MS) {
            LOG.info(
                    "SAP1924",
                    "A request waited for endpoints of a started instance",
                    "request",
                    request.id(),
                    "endpoints",
                    known.size(),
                    "waitedMs",
                    waitedMs);
        }
        return known;
    }

    /** Shows a list when it has not grown for a time. Used by one thread. */
    private final class Settling {
        private final long quietMs;
        private int size;
        private long grownAtMs = clock.nowMs();

        Settling(long quietMs) {
            this.quietMs = quietMs;
        }

        Optional<List<EndpointState>> filter(List<EndpointState> list) {
            long nowMs = clock.nowMs();
            if (list.size() > size) {
                size = list.size();
                grownAtMs = nowMs;
            }
            return Optional.of(list)
                    .filter(known -> !known.isEmpty() && nowMs - grownAtMs >= quietMs);
        }
    }
}
