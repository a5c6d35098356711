package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.membership.InFlightTable;
import java.util.Objects;

/**
 * Blackboard parts that {@link SpreadService} publishes: the state received from all other
 * instances.
 *
 * @param usage usage of client accounts at all other instances
 * @param inFlight requests in flight of all other instances, by endpoint
 * @param repeats use of retry budgets by all other instances
 */
public record SpreadParts(
        BlackboardPart<AccountUsageTable> usage,
        BlackboardPart<InFlightTable> inFlight,
        BlackboardPart<RetryUsageTable> repeats) {
    /** Checks that no component is null. */
    public SpreadParts {
        Objects.requireNonNull(usage, "usage");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(repeats, "repeats");
    }

    /** Creates empty parts. */
    public static SpreadParts create() {
        return new SpreadParts(
                new BlackboardPart<>(AccountUsageTable.EMPTY),
                new BlackboardPart<>(InFlightTable.UNKNOWN),
                new BlackboardPart<>(RetryUsageTable.EMPTY));
    }
}
