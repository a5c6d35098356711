package io.sapphirestack.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Use of repeat budgets, by the short name of the service. Immutable.
 *
 * @param byHandle use by short name
 */
public record RepeatTable(Map<Integer, RepeatUse> byHandle) {
    /** Table without use. */
    public static final RepeatTable EMPTY = new RepeatTable(Map.of());

    /** Copies the map. */
    public RepeatTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Creates a table.
     *
     * @param byService use by name of the service
     * @return the table
     */
    public static RepeatTable ofServices(Map<String, RepeatUse> byService) {
        return new RepeatTable(
                byService.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        entry -> handleOf(entry.getKey()),
                                        Map.Entry::getValue,
                                        RepeatUse::plus)));
    }

    private static int handleOf(String service) {
        return Hashing.xxh3_64().hashStream().putString(service).getAsInt();
    }

    /**
     * Returns the use of the budget of a service.
     *
     * @param service name of the service
     * @return its use, empty if nobody has told any
     */
    public Optional<RepeatUse> of(String service) {
        return Optional.ofNullable(byHandle.get(handleOf(service)));
    }
}
