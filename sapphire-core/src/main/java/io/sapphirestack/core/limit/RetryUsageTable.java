package io.sapphirestack.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Usage of the retry budgets of the services, summed over instances. A retry budget limits the
 * retries of a service to a ratio of its requests plus a fixed reserve. Immutable.
 *
 * @param byHandle usage by 32-bit handle of the service, which is a hash of its name
 */
public record RetryUsageTable(Map<Integer, RetryUsage> byHandle) {
    /** Empty table. */
    public static final RetryUsageTable EMPTY = new RetryUsageTable(Map.of());

    /** Takes an immutable copy of the map. */
    public RetryUsageTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Creates a table. The usage of services whose handles collide is summed.
     *
     * @param byService usage by service name
     * @return the table
     */
    public static RetryUsageTable ofServices(Map<String, RetryUsage> byService) {
        return new RetryUsageTable(
                byService.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        entry -> handleOf(entry.getKey()),
                                        Map.Entry::getValue,
                                        RetryUsage::plus)));
    }

    private static int handleOf(String service) {
        return Hashing.xxh3_64().hashStream().putString(service).getAsInt();
    }

    /**
     * Returns the usage of the budget of a service.
     *
     * @param service name of the service
     * @return its usage, including that of services whose handles collide with it, or empty if none
     *     was reported
     */
    public Optional<RetryUsage> of(String service) {
        return Optional.ofNullable(byHandle.get(handleOf(service)));
    }
}
