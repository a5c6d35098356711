package io.sapphirestack.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.AccountId;
import java.util.Map;

/**
 * Use by client accounts, by the short name of the account. Immutable.
 *
 * @param byHandle use by short name, see {@link #handleOf}
 */
public record UsageTable(Map<Integer, AccountUsage> byHandle) {
    /** Table without use. */
    public static final UsageTable EMPTY = new UsageTable(Map.of());

    /** Copies the map. */
    public UsageTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Computes the short name of an account. Two of 760 accounts share one with a probability of
     * 0.00007; their use is then added up.
     *
     * @param account client account
     * @return 32-bit hash
     */
    public static int handleOf(AccountId account) {
        return Hashing.xxh3_64().hashStream().putString(account.value()).getAsInt();
    }

    /**
     * Returns the use by an account.
     *
     * @param account client account
     * @return its use
     */
    public AccountUsage of(AccountId account) {
        return byHandle.getOrDefault(handleOf(account), AccountUsage.NONE);
    }
}
