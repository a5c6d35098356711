package io.sapphirestack.core.rollout;

import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.routing.EndpointState;
import java.util.List;
import java.util.function.Predicate;

/** Chooses the endpoints of a request by their version. */
public final class VersionChoice {

    private VersionChoice() {}

    /**
     * Returns the endpoints that a request may use.
     *
     * @param rollout last rollout of the service
     * @param endpoints endpoints of the service
     * @param share share of the requests that the new version gets at this instance, from 0 to 1;
     *     without effect unless the rollout is in progress
     * @param fraction position of the request from 0 (inclusive) to 1 (exclusive), the same for all
     *     its attempts and uniformly distributed over requests
     * @return endpoints of the new version for the given share of the requests, of the old ones for
     *     the others; never one of an excluded version. While the rollout is in progress, requests
     *     for the new version use the old ones if it has no endpoint
     */
    public static List<EndpointState> choose(
            RolloutSpec rollout, List<EndpointState> endpoints, double share, double fraction) {
        List<EndpointState> allowed = keep(endpoints, e -> !isExcluded(rollout, e));
        if (!rollout.isInProgress()) {
            return allowed;
        }
        List<EndpointState> updated = keep(allowed, e -> isNew(rollout, e));
        return fraction < share && !updated.isEmpty()
                ? updated
                : keep(allowed, e -> !isNew(rollout, e));
    }

    private static boolean isExcluded(RolloutSpec rollout, EndpointState endpoint) {
        return rollout.excluded().contains(endpoint.version());
    }

    private static boolean isNew(RolloutSpec rollout, EndpointState endpoint) {
        return endpoint.version().equals(rollout.version());
    }

    private static List<EndpointState> keep(
            List<EndpointState> endpoints, Predicate<EndpointState> condition) {
        return endpoints.stream().filter(condition).toList();
    }
}
