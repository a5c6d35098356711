package io.sapphirestack.runtime.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.rollout.LocalRollout;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.rollout.VersionChoice;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Divides the requests of a service between its versions while one is rolled out, and counts the
 * responses of each. Services without an order are not affected. Thread-safe.
 */
final class RolloutTraffic implements EndpointFilter, AttemptObserver {

    private static final int SERVER_ERROR = 500;

    /** Number of values of the hash that places a request. */
    private static final double HASH_RANGE = 1L << 32;

    private final LocalRollouts rollouts;
    private final MillisClock clock;
    private final Predicate<EndpointState> isSuspect;

    /** Requests that the new version refused or failed; their next ones use the old one. */
    private final Set<HttpServerExchange> failedAtNewVersion =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /**
     * Creates the filter.
     *
     * @param rollouts rollouts that this instance knows
     * @param clock monotonic clock
     * @param isSuspect whether an endpoint could not be reached lately; while all endpoints of the
     *     new version are suspect, the old one serves their share
     */
    RolloutTraffic(LocalRollouts rollouts, MillisClock clock, Predicate<EndpointState> isSuspect) {
        this.isSuspect = Objects.requireNonNull(isSuspect, "isSuspect");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.rollouts = Objects.requireNonNull(rollouts, "rollouts");
    }

    @Override
    public List<EndpointState> filter(RelayedRequest request, List<EndpointState> endpoints) {
        Optional<RolloutSpec> rollout = rollouts.last(request.service().name());
        if (rollout.isEmpty()) {
            return endpoints;
        }
        double share =
                failedAtNewVersion.contains(request.exchange()) ? 0 : rollouts.share(rollout.get());
        double fraction = fractionOf(request);
        List<EndpointState> chosen =
                VersionChoice.choose(rollout.get(), endpoints, share, fraction);
        if (share == 0 || !chosen.stream().allMatch(isSuspect)) {
            return chosen;
        }
        // Endpoints that have ended are known until their announcements expire.
        List<EndpointState> old = VersionChoice.choose(rollout.get(), endpoints, 0, fraction);
        return old.isEmpty() ? chosen : old;
    }

    /**
     * Places a request between 0 and 1, the same for all its attempts. The identity of the object
     * is used, because callers choose the identifiers of requests.
     */
    private static double fractionOf(RelayedRequest request) {
        long hash = Hashing.xxh3_64().hashStream().putInt(identityOf(request)).getAsLong();
        return (hash >>> 32) / HASH_RANGE;
    }

    private static int identityOf(RelayedRequest request) {
        return System.identityHashCode(request.exchange());
    }

    /**
     * Counts an error response. Successes of plain services count with their head, those of streams
     * with their first event. Responses that say that the request did not run, and those that blame
     * the caller, say nothing about the version.
     */
    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        if (ResponseChecks.isNotRun(head, request.headers())) {
            ifInProgress(request, state -> avoidNewVersion(state, request, endpoint));
        } else if (head.status() >= SERVER_ERROR) {
            recordFailure(request, endpoint);
        } else if (head.isSuccess() && !request.route().kind().isStream()) {
            recordResponse(request, endpoint, clock.nowMs() - sentAtMs);
        }
    }

    @Override
    public void onFailure(RelayedRequest request, EndpointState endpoint, long sentAtMs) {
        recordFailure(request, endpoint);
    }

    @Override
    public void onEvents(
            RelayedRequest request,
            EndpointState endpoint,
            int events,
            boolean first,
            long waitedMs) {
        if (first) {
            recordResponse(request, endpoint, waitedMs);
        }
    }

    private void recordResponse(RelayedRequest request, EndpointState endpoint, long latencyMs) {
        ifInProgress(
                request,
                state ->
                        state.recordResponse(
                                request.route().name(), endpoint.version(), latencyMs));
    }

    private void recordFailure(RelayedRequest request, EndpointState endpoint) {
        ifInProgress(
                request,
                state -> {
                    state.recordFailure(request.route().name(), endpoint.version());
                    avoidNewVersion(state, request, endpoint);
                });
    }

    private void avoidNewVersion(
            LocalRollout state, RelayedRequest request, EndpointState endpoint) {
        if (state.isNew(endpoint.version())) {
            failedAtNewVersion.add(request.exchange());
        }
    }

    private void ifInProgress(RelayedRequest request, Consumer<LocalRollout> action) {
        rollouts.last(request.service().name())
                .filter(RolloutSpec::isInProgress)
                .map(rollouts::state)
                .ifPresent(action);
    }
}
