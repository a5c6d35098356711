package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.EndpointSignals.Field;
import io.sapphirestack.core.relay.EndpointSignals.RawValues;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against malformed or contradictory signals that change the placement of requests. */
class EndpointSignalsTests {

    /** Sun, 06 Nov 1994 08:49:37 GMT. */
    private static final long DATE_MS = 784_111_777_000L;

    private static EndpointSignals load(String... values) {
        return parse(new RawValues(200, List.of(values), List.of(), List.of()));
    }

    private static EndpointSignals retryAfter(int status, String... values) {
        return parse(new RawValues(status, List.of(), List.of(), List.of(values)));
    }

    private static EndpointSignals parse(RawValues raw) {
        return EndpointSignals.parse(raw, () -> DATE_MS - 2_500);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "3,2,6;",
                " 3, 2 ,6 ;",
                "3,2,6,250;250",
                "3,2,6,99.6;100",
                "3,2,6,10000;10000"
            })
    void loadIsRead(String value, Integer pace) {
        OptionalInt expectedPace = pace == null ? OptionalInt.empty() : OptionalInt.of(pace);
        assertThat(load(value).load()).contains(new ReportedLoad(3, 2, 6, expectedPace));
        assertThat(load(value, value).malformed()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "1,2",
                "1,2,0",
                "-1,2,6",
                "1,2,6,",
                "1,2,6,0",
                "1,2,6,-5",
                "1,2,6,NaN",
                "1,2,6,Infinity",
                "1,2,6,1e9",
                "1,2,6,10001",
                "1,2,6,100,7",
                "1.5,2,6",
                "1000000,2,6"
            })
    void malformedLoadIsIgnored(String value) {
        assertThat(load(value).load()).isEmpty();
        assertThat(load(value).malformed()).containsExactly(Field.LOAD);
    }

    @Test
    void thousandsOfDigitsAreIgnored() {
        String digits = "1".repeat(5_000);
        assertThat(load("1,2," + digits).load()).isEmpty();
        assertThat(load("1,2,6,1." + digits).load()).isEmpty();
        assertThat(retryAfter(503, digits).backoffMs()).isEmpty();
        assertThat(retryAfter(503, "1." + digits).malformed()).containsExactly(Field.RETRY_AFTER);
    }

    @Test
    void differentValuesOfOneFieldAreIgnored() {
        assertThat(load("1,2,6", "1,2,7").load()).isEqualTo(Optional.empty());
        assertThat(retryAfter(503, "1", "2").backoffMs()).isEmpty();
        EndpointSignals leaving =
                parse(new RawValues(200, List.of(), List.of("1", "0"), List.of()));
        assertThat(leaving.isLeaving()).isFalse();
        assertThat(leaving.malformed()).containsExactly(Field.LEAVING);
    }

    @ParameterizedTest
    @CsvSource({"1,true", "0,false", "yes,false"})
    void leavingIsRead(String value, boolean expected) {
        RawValues raw = new RawValues(500, List.of(), List.of(value), List.of());
        assertThat(parse(raw).isLeaving()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "0;0",
                "1.25;1250",
                "120;120000",
                "0.333333333333333333;333",
                "Sun, 06 Nov 1994 08:49:37 GMT;2500",
                "Sunday, 06-Nov-94 08:49:37 GMT;2500",
                "Sun Nov  6 08:49:37 1994;2500",
                "Sat, 05 Nov 1994 08:49:37 GMT;0"
            })
    void backoffOfUnavailableEndpointIsRead(String value, long expectedMs) {
        assertThat(retryAfter(503, value).backoffMs()).isEqualTo(OptionalLong.of(expectedMs));
        assertThat(retryAfter(429, value).backoffMs()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "-1",
                "x",
                "NaN",
                "Infinity",
                "1e3",
                "",
                "1 2",
                "Mon, 99 Nov 1994 08:49:37 GMT"
            })
    void malformedBackoffIsIgnored(String value) {
        assertThat(retryAfter(503, value).backoffMs()).isEmpty();
        assertThat(retryAfter(503, value).malformed()).containsExactly(Field.RETRY_AFTER);
    }
}
