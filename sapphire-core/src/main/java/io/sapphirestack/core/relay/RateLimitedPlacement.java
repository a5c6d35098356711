package io.sapphirestack.core.relay;

import io.sapphirestack.core.routing.EndpointState;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Places requests by {@link RelayPlacement} at endpoints whose rate limit allows it. Thread-safe.
 */
public final class RateLimitedPlacement {

    private final RelayPlacement placement;
    private final EndpointRateLimiter limiter;

    /**
     * Creates a placement.
     *
     * @param placement chooses among the endpoints whose limit allows a request
     * @param limiter rate limits of the endpoints
     */
    public RateLimitedPlacement(RelayPlacement placement, EndpointRateLimiter limiter) {
        this.placement = Objects.requireNonNull(placement, "placement");
        this.limiter = Objects.requireNonNull(limiter, "limiter");
    }

    /**
     * Chooses the endpoint of a request and takes a permit of its rate limit.
     *
     * @param kind kind of work, which determines its weight
     * @param candidates endpoints of its service that accept new work
     * @param failed endpoints at which this request has failed
     * @return the endpoint; empty if there is no candidate, or the limits of all are used up
     */
    public Optional<EndpointState> choose(
            RelayWorkKind kind, List<EndpointState> candidates, Collection<EndpointState> failed) {
        List<EndpointState> admissible = limiter.admissible(candidates);
        while (!admissible.isEmpty()) {
            Optional<EndpointState> chosen = placement.choose(kind, admissible, failed);
            if (chosen.isEmpty() || limiter.tryAcquire(chosen.get())) {
                return chosen;
            }
            // Another request has taken the last permit since the endpoint was admissible.
            admissible = limiter.admissible(admissible);
        }
        return Optional.empty();
    }

    /**
     * Chooses the endpoint of a request that has begun elsewhere and must not be refused. It may
     * take a permit in advance.
     *
     * @param kind kind of work, which determines its weight
     * @param candidates endpoints of its service that accept new work
     * @param failed endpoints at which this request has failed
     * @return the endpoint, empty if there is no candidate
     */
    public Optional<EndpointState> chooseToContinue(
            RelayWorkKind kind, List<EndpointState> candidates, Collection<EndpointState> failed) {
        return choose(kind, candidates, failed)
                .or(
                        () -> {
                            Optional<EndpointState> chosen =
                                    placement.choose(kind, candidates, failed);
                            chosen.ifPresent(limiter::acquire);
                            return chosen;
                        });
    }
}
