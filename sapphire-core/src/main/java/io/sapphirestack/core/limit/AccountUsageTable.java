package io.sapphirestack.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.AccountId;
import java.util.Map;

/**
 * Usage by client accounts. Immutable.
 *
 * @param byHandle usage by 32-bit handle of the account, see {@link #handleOf}
 */
public record AccountUsageTable(Map<Integer, AccountUsage> byHandle) {
    /** Empty table. */
    public static final AccountUsageTable EMPTY = new AccountUsageTable(Map.of());

    /** Takes an immutable copy of the map. */
    public AccountUsageTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Computes the handle of an account, a hash of its identifier. With 760 accounts the
     * probability that two share a handle is 0.00007; their usage is then summed.
     *
     * @param account client account
     * @return 32-bit hash
     */
    public static int handleOf(AccountId account) {
        return Hashing.xxh3_64().hashStream().putString(account.value()).getAsInt();
    }

    /**
     * Returns the usage by an account.
     *
     * @param account client account
     * @return its usage, {@link AccountUsage#NONE} if none was reported
     */
    public AccountUsage of(AccountId account) {
        return byHandle.getOrDefault(handleOf(account), AccountUsage.NONE);
    }
}
