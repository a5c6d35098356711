package io.sapphirestack.core.rollout;

import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.record.RolloutState;
import java.util.List;
import java.util.Optional;

/**
 * Order of an operator to move the traffic of a service to a version.
 *
 * @param service name of the service
 * @param version version of the endpoints that shall serve the requests
 * @param periodMs time from the order to its deadline, in milliseconds
 */
public record RolloutOrder(String service, String version, long periodMs) {

    /** Longest time to the deadline, in milliseconds: a week. */
    public static final long MAX_PERIOD_MS = 7L * 24 * 3_600_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a name is empty or the version too long, or the period is
     *     not between 1 ms and {@link #MAX_PERIOD_MS}
     */
    public RolloutOrder {
        if (service.isEmpty()) {
            throw new IllegalArgumentException("the service is empty");
        }
        if (version.isEmpty() || version.length() > EndpointAnnouncement.MAX_VERSION_CHARS) {
            throw new IllegalArgumentException(
                    "the version must have 1 to "
                            + EndpointAnnouncement.MAX_VERSION_CHARS
                            + " characters");
        }
        if (periodMs < 1 || periodMs > MAX_PERIOD_MS) {
            throw new IllegalArgumentException("the deadline is out of range: " + periodMs);
        }
    }

    /** What happens to an order. */
    public enum Decision {
        /** A new rollout starts. */
        START,
        /** The order is known; nothing changes. */
        REPEATED,
        /** Another order for the service is in progress. */
        CONFLICT
    }

    /**
     * Decides what happens to this order. An operator repeats an order whose response was lost, so
     * an equal one is a repeat until its deadline even if the rollout has ended early. After the
     * deadline, an equal order for a withdrawn version starts another rollout. An order for the
     * adopted version changes nothing, whatever its deadline: the version serves all requests, and
     * its first stage would leave most of them without an endpoint.
     *
     * @param last last rollout of the service, empty if there was none
     * @param nowMs current time, in Unix milliseconds
     * @return the decision
     */
    public Decision decide(Optional<RolloutSpec> last, long nowMs) {
        if (last.isEmpty()) {
            return Decision.START;
        }
        RolloutSpec rollout = last.get();
        boolean sameVersion = rollout.version().equals(version);
        boolean equal = sameVersion && rollout.periodMs() == periodMs;
        if (rollout.isInProgress()) {
            return equal ? Decision.REPEATED : Decision.CONFLICT;
        }
        boolean adopted = rollout.state() == RolloutState.ADOPTED;
        boolean repeated = sameVersion && adopted || equal && nowMs < rollout.deadlineAtMs();
        return repeated ? Decision.REPEATED : Decision.START;
    }

    /**
     * Returns the rollout that this order starts.
     *
     * @param last last rollout of the service, empty if there was none
     * @param nowMs current time, in Unix milliseconds
     * @return rollout in its first stage; versions that were excluded before stay so
     */
    public RolloutSpec start(Optional<RolloutSpec> last, long nowMs) {
        List<String> excluded =
                last.map(RolloutSpec::excluded).orElse(List.of()).stream()
                        .filter(other -> !other.equals(version))
                        .toList();
        return new RolloutSpec(
                service,
                version,
                periodMs,
                nowMs,
                RolloutState.IN_PROGRESS,
                0,
                new RolloutStages(periodMs).stage(0).share(),
                nowMs,
                "",
                excluded);
    }
}
