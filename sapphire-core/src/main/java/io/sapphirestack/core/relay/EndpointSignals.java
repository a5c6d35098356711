package io.sapphirestack.core.relay;

import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * What a response says about the endpoint that sent it.
 *
 * @param load load of the endpoint, empty if it reports none
 * @param isLeaving whether it is leaving and must get no more requests
 * @param backoffMs time for which it wants no requests, in milliseconds; empty if it names none
 * @param malformed fields whose values are ignored because they are malformed or contradict each
 *     other
 */
public record EndpointSignals(
        Optional<ReportedLoad> load,
        boolean isLeaving,
        OptionalLong backoffMs,
        Set<Field> malformed) {

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Field of a response that carries a signal. */
    public enum Field {
        /** Requests that run and wait, slots and pace. */
        LOAD,
        /** Whether the endpoint is leaving. */
        LEAVING,
        /** Time for which the endpoint wants no requests. */
        RETRY_AFTER
    }

    /**
     * Values of the fields of a response, in the order of arrival.
     *
     * @param status status code of the response
     * @param load values of the field with the load
     * @param leaving values of the field that says that the endpoint is leaving
     * @param retryAfter values of {@code Retry-After}
     */
    public record RawValues(
            int status, List<String> load, List<String> leaving, List<String> retryAfter) {

        /** Returns the values of a field. */
        public List<String> of(Field field) {
            return switch (field) {
                case LOAD -> load;
                case LEAVING -> leaving;
                case RETRY_AFTER -> retryAfter;
            };
        }

        /** Returns whether no field has a value. */
        public boolean isEmpty() {
            return load.isEmpty() && leaving.isEmpty() && retryAfter.isEmpty();
        }
    }

    /** Requires non-null components and copies the set. */
    public EndpointSignals {
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(backoffMs, "backoffMs");
        malformed = Set.copyOf(malformed);
    }

    /**
     * Decodes the fields of a response. A field that occurs twice with different values is
     * malformed.
     *
     * @param raw values of the fields
     * @param senderNowMs returns the time of the endpoint in milliseconds since the Unix epoch
     * @return signals
     */
    public static EndpointSignals parse(RawValues raw, LongSupplier senderNowMs) {
        Set<Field> malformed = EnumSet.noneOf(Field.class);
        Optional<ReportedLoad> load = parse(raw.load(), ReportedLoad::parse, Field.LOAD, malformed);
        Optional<Boolean> leaving =
                parse(raw.leaving(), EndpointSignals::parseFlag, Field.LEAVING, malformed);
        Optional<Long> backoffMs =
                raw.status() == SERVICE_UNAVAILABLE
                        ? parse(
                                raw.retryAfter(),
                                value -> boxed(RetryAfter.parseMs(value, senderNowMs)),
                                Field.RETRY_AFTER,
                                malformed)
                        : Optional.empty();
        return new EndpointSignals(
                load,
                leaving.orElse(false),
                backoffMs.map(OptionalLong::of).orElse(OptionalLong.empty()),
                malformed);
    }

    private static <T> Optional<T> parse(
            List<String> values,
            Function<String, Optional<T>> parser,
            Field field,
            Set<Field> malformed) {
        List<String> distinct = values.stream().map(String::trim).distinct().toList();
        if (distinct.isEmpty()) {
            return Optional.empty();
        }
        Optional<T> parsed = distinct.size() > 1 ? Optional.empty() : parser.apply(distinct.get(0));
        if (parsed.isEmpty()) {
            malformed.add(field);
        }
        return parsed;
    }

    private static Optional<Boolean> parseFlag(String value) {
        return switch (value) {
            case "1" -> Optional.of(true);
            case "0" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static Optional<Long> boxed(OptionalLong value) {
        return value.isPresent() ? Optional.of(value.getAsLong()) : Optional.empty();
    }
}
