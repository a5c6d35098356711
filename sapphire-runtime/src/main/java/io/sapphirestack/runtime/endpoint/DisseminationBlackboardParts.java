package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.RateLimitTable;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.version.VersionCountsTable;
import java.util.Objects;

/**
 * Blackboard parts that {@link DisseminationService} publishes: the state received from all other
 * instances.
 *
 * @param usage usage of client accounts at all other instances
 * @param inFlight requests in flight of all other instances, by endpoint
 * @param retryBudgetUse use of retry budgets by all other instances
 * @param rateLimits rate limits that endpoints named to other instances
 * @param versionCounts counts of responses by version at all other instances
 */
public record DisseminationBlackboardParts(
        BlackboardPart<AccountUsageTable> usage,
        BlackboardPart<InFlightTable> inFlight,
        BlackboardPart<RetryUsageTable> retryBudgetUse,
        BlackboardPart<RateLimitTable> rateLimits,
        BlackboardPart<VersionCountsTable> versionCounts) {
    /** Checks that no component is null. */
    public DisseminationBlackboardParts {
        Objects.requireNonNull(usage, "usage");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(retryBudgetUse, "retryBudgetUse");
        Objects.requireNonNull(rateLimits, "rateLimits");
        Objects.requireNonNull(versionCounts, "versionCounts");
    }

    /** Creates empty parts. */
    public static DisseminationBlackboardParts create() {
        return new DisseminationBlackboardParts(
                new BlackboardPart<>(AccountUsageTable.EMPTY),
                new BlackboardPart<>(InFlightTable.UNKNOWN),
                new BlackboardPart<>(RetryUsageTable.EMPTY),
                new BlackboardPart<>(RateLimitTable.EMPTY),
                new BlackboardPart<>(VersionCountsTable.EMPTY));
    }
}
