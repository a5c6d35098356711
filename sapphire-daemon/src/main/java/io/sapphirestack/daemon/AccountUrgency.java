package io.sapphirestack.daemon;

import io.sapphirestack.core.limit.AccountLimiter;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.record.AccountSpec;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** Tells which client accounts are near a limit, so that their use is reported more often. */
final class AccountUrgency {

    // With the reports of 2 s ago, an account below this share cannot pass its limit unnoticed
    // unless its use doubles within that time.
    private static final double NEAR_LIMIT_SHARE = 0.5;

    private final AccountLimiter limiter;
    private final Supplier<AccountUsageTable> others;
    private final RecordCatalog catalog;
    private volatile AccountUsageTable local = AccountUsageTable.EMPTY;

    AccountUrgency(
            AccountLimiter limiter, Supplier<AccountUsageTable> others, RecordCatalog catalog) {
        this.limiter = Objects.requireNonNull(limiter, "limiter");
        this.others = Objects.requireNonNull(others, "others");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
    }

    /** Returns the use at this instance and keeps it for {@link #isUrgent}. */
    AccountUsageTable localUsage() {
        AccountUsageTable usage = limiter.localUsage();
        local = usage;
        return usage;
    }

    boolean isUrgent(int handle) {
        Optional<AccountSpec> spec = catalog.accountByHandle(handle);
        if (spec.isEmpty()) {
            return false;
        }
        AccountUsage here = local.byHandle().getOrDefault(handle, AccountUsage.NONE);
        AccountUsage there = others.get().byHandle().getOrDefault(handle, AccountUsage.NONE);
        return here.concurrent() + there.concurrent()
                        > spec.get().maxConcurrentGenerations() * NEAR_LIMIT_SHARE
                || here.admittedPerS() + there.admittedPerS()
                        > spec.get().maxRequestsPerS() * NEAR_LIMIT_SHARE;
    }
}
