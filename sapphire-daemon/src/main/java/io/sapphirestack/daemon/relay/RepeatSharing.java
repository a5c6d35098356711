package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.relay.RepeatBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Makes the use of the repeat budget known to other instances. It travels as the usage of an
 * account of its own for each service: repeats as work in flight, instances as admitted requests a
 * second, and requests as demand a second.
 */
final class RepeatSharing {

    /** Names of accounts contain no colon. */
    private static final String ACCOUNT_PREFIX = "repeats:";

    private static final double MS_PER_S = 1_000;

    private final long windowMs;
    private final Supplier<UsageTable> others;

    RepeatSharing(long windowMs, Supplier<UsageTable> others) {
        this.windowMs = windowMs;
        this.others = others;
    }

    private static int handleOf(String service) {
        return UsageTable.handleOf(ACCOUNT_PREFIX + service);
    }

    /** Returns what other instances are to know. */
    UsageTable table(Map<String, RepeatBudget.Use> own) {
        Map<Integer, AccountUsage> usage = new HashMap<>();
        own.forEach(
                (service, use) ->
                        usage.put(
                                handleOf(service),
                                new AccountUsage(
                                        use.repeats(),
                                        use.instances(),
                                        use.requests() * MS_PER_S / windowMs)));
        return new UsageTable(usage);
    }

    /** Returns the use of a service by the other instances, empty if none is known. */
    Optional<RepeatBudget.Use> others(String service) {
        return Optional.ofNullable(others.get().byHandle().get(handleOf(service)))
                .map(
                        usage ->
                                new RepeatBudget.Use(
                                        (int) Math.round(usage.admittedPerS()),
                                        usage.demandPerS() * windowMs / MS_PER_S,
                                        usage.concurrent()));
    }
}
