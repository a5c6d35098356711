package io.sapphirestack.core.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load that an endpoint reports in a response.
 *
 * @param running requests that the endpoint runs, 0 to 999,999
 * @param waiting requests that wait at the endpoint, 0 to 999,999
 * @param slots requests that it can run at the same time, 1 to 999,999
 * @param pacePercent current service time in percent of the usual one, 1 to 10,000; empty if the
 *     endpoint does not report it
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt pacePercent) {

    /** Largest number of requests or slots. */
    static final int MAX_REQUESTS = 999_999;

    /** Largest pace, in percent: a service time of 100 times the usual one. */
    static final int MAX_PACE_PERCENT = 10_000;

    /** Bounds the digits, so that a hostile value costs no more than an ordinary one. */
    private static final Pattern FORMAT =
            Pattern.compile(
                    "([0-9]{1,6}) *, *([0-9]{1,6}) *, *([0-9]{1,6})(?: *, *([0-9]{1,5}(?:\\.[0-9]{1,9})?))?");

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a component is out of range
     */
    public ReportedLoad {
        requireRange("running", running, 0, MAX_REQUESTS);
        requireRange("waiting", waiting, 0, MAX_REQUESTS);
        requireRange("slots", slots, 1, MAX_REQUESTS);
        pacePercent.ifPresent(pace -> requireRange("pacePercent", pace, 1, MAX_PACE_PERCENT));
    }

    private static void requireRange(String name, int value, int min, int max) {
        if (!isWithin(value, min, max)) {
            throw new IllegalArgumentException(
                    name + " must be between " + min + " and " + max + ", not " + value);
        }
    }

    private static boolean isWithin(int value, int min, int max) {
        return value >= min && value <= max;
    }

    /**
     * Parses a load.
     *
     * @param value {@code running,waiting,slots} or {@code running,waiting,slots,pace}
     * @return load, empty if the value is malformed or out of range
     */
    public static Optional<ReportedLoad> parse(String value) {
        Matcher matcher = FORMAT.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int slots = Integer.parseInt(matcher.group(3));
        OptionalInt pace =
                matcher.group(4) == null
                        ? OptionalInt.empty()
                        : OptionalInt.of((int) Math.round(Double.parseDouble(matcher.group(4))));
        if (slots < 1 || pace.isPresent() && !isWithin(pace.getAsInt(), 1, MAX_PACE_PERCENT)) {
            return Optional.empty();
        }
        return Optional.of(
                new ReportedLoad(
                        Integer.parseInt(matcher.group(1)),
                        Integer.parseInt(matcher.group(2)),
                        slots,
                        pace));
    }
}
