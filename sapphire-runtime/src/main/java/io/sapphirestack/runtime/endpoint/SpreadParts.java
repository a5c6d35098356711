package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.limit.RepeatTable;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.membership.InFlightTable;
import java.util.Objects;

/**
 * Parts of the blackboard that the spread service owns.
 *
 * @param usage use by client accounts at all other instances
 * @param inFlight work in flight of all other instances
 * @param repeats use of repeat budgets by all other instances
 */
public record SpreadParts(
        BlackboardPart<UsageTable> usage,
        BlackboardPart<InFlightTable> inFlight,
        BlackboardPart<RepeatTable> repeats) {
    /** Checks the components. */
    public SpreadParts {
        Objects.requireNonNull(usage, "usage");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(repeats, "repeats");
    }

    /** Creates empty parts. */
    public static SpreadParts create() {
        return new SpreadParts(
                new BlackboardPart<>(UsageTable.EMPTY),
                new BlackboardPart<>(InFlightTable.UNKNOWN),
                new BlackboardPart<>(RepeatTable.EMPTY));
    }
}
