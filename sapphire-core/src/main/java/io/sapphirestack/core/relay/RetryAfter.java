package io.sapphirestack.core.relay;

import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.time.temporal.TemporalAccessor;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;

/** Parses the HTTP field {@code Retry-After}. */
public final class RetryAfter {

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,30})?");
    private static final int MAX_DATE_LENGTH = 40;

    /** Years of two digits are those from 1970 to 2069; the dates are near the present. */
    private static final int FIRST_SHORT_YEAR = 1970;

    private static final double MS_PER_S = 1_000;

    /** The three formats of RFC 9110, section 5.6.7; recipients have to accept all of them. */
    private static final List<DateTimeFormatter> DATES =
            List.of(
                    DateTimeFormatter.RFC_1123_DATE_TIME,
                    new DateTimeFormatterBuilder()
                            .appendPattern("EEEE, dd-MMM-")
                            .appendValueReduced(ChronoField.YEAR, 2, 2, FIRST_SHORT_YEAR)
                            .appendPattern(" HH:mm:ss 'GMT'")
                            .toFormatter(Locale.ENGLISH),
                    DateTimeFormatter.ofPattern("EEE MMM ppd HH:mm:ss yyyy", Locale.ENGLISH));

    private RetryAfter() {}

    /**
     * Parses a delay.
     *
     * @param value decimal number of seconds, or an HTTP date
     * @param senderNowMs returns the time of the sender in milliseconds since the Unix epoch; only
     *     called for a date
     * @return delay in milliseconds, 0 for a date in the past; empty if the value is malformed
     */
    public static OptionalLong parseMs(String value, LongSupplier senderNowMs) {
        if (SECONDS.matcher(value).matches()) {
            return OptionalLong.of(Math.round(Double.parseDouble(value) * MS_PER_S));
        }
        OptionalLong dateMs = parseDateMs(value);
        return dateMs.isEmpty()
                ? dateMs
                : OptionalLong.of(Math.max(0, dateMs.getAsLong() - senderNowMs.getAsLong()));
    }

    /**
     * Parses an HTTP date.
     *
     * @param value date in one of the formats of HTTP
     * @return milliseconds since the Unix epoch, empty if the value is malformed
     */
    public static OptionalLong parseDateMs(String value) {
        if (value.length() > MAX_DATE_LENGTH) {
            return OptionalLong.empty();
        }
        for (DateTimeFormatter format : DATES) {
            OptionalLong dateMs = parseDateMs(value, format);
            if (dateMs.isPresent()) {
                return dateMs;
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseDateMs(String value, DateTimeFormatter format) {
        try {
            TemporalAccessor date = format.parse(value);
            return OptionalLong.of(
                    LocalDateTime.from(date).toInstant(ZoneOffset.UTC).toEpochMilli());
        } catch (DateTimeException e) {
            return OptionalLong.empty();
        }
    }
}
