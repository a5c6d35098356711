package io.sapphirestack.daemon;

import io.sapphirestack.core.limit.AccountLimiter;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.record.AccountSpec;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds the client accounts that are near one of their limits, so that their usage is disseminated
 * more often. Thread-safe.
 */
final class NearLimitAccounts {

    // Usage reports may be 2 s old. An account below this share of its limit can exceed the limit
    // unnoticed only if its usage doubles within that time.
    private static final double NEAR_LIMIT_SHARE = 0.5;

    private final AccountLimiter limiter;
    private final Supplier<AccountUsageTable> remoteUsage;
    private final RecordCatalog catalog;
    private volatile AccountUsageTable lastLocalUsage = AccountUsageTable.EMPTY;

    NearLimitAccounts(
            AccountLimiter limiter,
            Supplier<AccountUsageTable> remoteUsage,
            RecordCatalog catalog) {
        this.limiter = Objects.requireNonNull(limiter, "limiter");
        this.remoteUsage = Objects.requireNonNull(remoteUsage, "remoteUsage");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
    }

    /** Reads the usage at this instance, keeps it for {@link #isNearLimit} and returns it. */
    AccountUsageTable refreshLocalUsage() {
        AccountUsageTable usage = limiter.localUsage();
        lastLocalUsage = usage;
        return usage;
    }

    /**
     * Returns whether an account is above half of one of its limits.
     *
     * @param handle short name of the account in usage reports
     * @return {@code false} also if no account has this handle
     */
    boolean isNearLimit(int handle) {
        Optional<AccountSpec> spec = catalog.accountByHandle(handle);
        if (spec.isEmpty()) {
            return false;
        }
        AccountUsage localUse = lastLocalUsage.byHandle().getOrDefault(handle, AccountUsage.NONE);
        AccountUsage remoteUse =
                remoteUsage.get().byHandle().getOrDefault(handle, AccountUsage.NONE);
        return localUse.concurrent() + remoteUse.concurrent()
                        > spec.get().maxConcurrentGenerations() * NEAR_LIMIT_SHARE
                || localUse.admittedPerS() + remoteUse.admittedPerS()
                        > spec.get().maxRequestsPerS() * NEAR_LIMIT_SHARE;
    }
}
