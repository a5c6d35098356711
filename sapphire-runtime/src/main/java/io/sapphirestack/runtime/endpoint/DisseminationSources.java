package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.membership.InFlightAggregator;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.version.VersionCounts;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.function.Supplier;

/**
 * Local state that {@link DisseminationService} disseminates.
 *
 * @param usage returns the usage of client accounts at this instance
 * @param urgentAccount returns whether the account with a handle is near its limit, so that its
 *     usage is disseminated more often
 * @param inFlight returns the number of requests in flight at this instance, by endpoint
 * @param retryBudgetUse returns the use of retry budgets by this instance
 * @param crashEvidence crashes that this instance knows; those received are added to it
 * @param rateLimits returns the rate limits that endpoints name to this instance, in thousandths of
 *     a request per second by endpoint handle
 * @param versionCounts returns the counts of responses by version that rollouts in progress need,
 *     by handle
 * @param maxInFlightEndpoints maximum number of endpoints for which requests in flight are
 *     disseminated
 */
public record DisseminationSources(
        Supplier<AccountUsageTable> usage,
        IntPredicate urgentAccount,
        Supplier<Map<EndpointId, Integer>> inFlight,
        Supplier<RetryUsageTable> retryBudgetUse,
        CrashEvidence crashEvidence,
        Supplier<Map<Integer, Integer>> rateLimits,
        Supplier<Map<Integer, VersionCounts>> versionCounts,
        int maxInFlightEndpoints) {
    /** Checks that no component is null. */
    public DisseminationSources {
        Objects.requireNonNull(usage, "usage");
        Objects.requireNonNull(urgentAccount, "urgentAccount");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(retryBudgetUse, "retryBudgetUse");
        Objects.requireNonNull(crashEvidence, "crashEvidence");
        Objects.requireNonNull(rateLimits, "rateLimits");
        Objects.requireNonNull(versionCounts, "versionCounts");
    }

    /**
     * Creates sources without retry budgets, rate limits and rollouts, and with the limit {@link
     * InFlightAggregator#MAX_ENDPOINTS}, for instances that do not relay traffic and whose
     * endpoints report their load.
     *
     * @param usage returns the usage of client accounts at this instance
     * @param urgentAccount returns whether the account with a handle is near its limit
     * @param inFlight returns the number of requests in flight at this instance, by endpoint
     * @param crashEvidence crashes that this instance knows
     */
    public DisseminationSources(
            Supplier<AccountUsageTable> usage,
            IntPredicate urgentAccount,
            Supplier<Map<EndpointId, Integer>> inFlight,
            CrashEvidence crashEvidence) {
        this(
                usage,
                urgentAccount,
                inFlight,
                () -> RetryUsageTable.EMPTY,
                crashEvidence,
                Map::of,
                Map::of,
                InFlightAggregator.MAX_ENDPOINTS);
    }
}
