package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.limit.RepeatTable;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.membership.InFlightAggregator;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.function.Supplier;

/**
 * Local state that is disseminated.
 *
 * @param usage returns the use by client accounts at this instance
 * @param urgentAccount tells by short name whether an account is near its limit, so that its use is
 *     disseminated more often
 * @param inFlight returns the work in flight by endpoint at this instance
 * @param repeats returns the use of repeat budgets by this instance
 * @param workLimitEndpoints most endpoints for which work in flight is disseminated
 */
public record SpreadSources(
        Supplier<UsageTable> usage,
        IntPredicate urgentAccount,
        Supplier<Map<EndpointId, Integer>> inFlight,
        Supplier<RepeatTable> repeats,
        int workLimitEndpoints) {
    /** Checks the components. */
    public SpreadSources {
        Objects.requireNonNull(usage, "usage");
        Objects.requireNonNull(urgentAccount, "urgentAccount");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(repeats, "repeats");
    }

    /**
     * Creates sources of instances that relay nothing and whose endpoints report their load.
     *
     * @param usage returns the use by client accounts at this instance
     * @param urgentAccount tells by short name whether an account is near its limit
     * @param inFlight returns the work in flight by endpoint at this instance
     */
    public SpreadSources(
            Supplier<UsageTable> usage,
            IntPredicate urgentAccount,
            Supplier<Map<EndpointId, Integer>> inFlight) {
        this(
                usage,
                urgentAccount,
                inFlight,
                () -> RepeatTable.EMPTY,
                InFlightAggregator.MAX_ENDPOINTS);
    }
}
