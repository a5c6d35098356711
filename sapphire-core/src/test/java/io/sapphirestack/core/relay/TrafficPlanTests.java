package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepting contradictory plans and against selecting the wrong route. */
class TrafficPlanTests {

    private static final List<RelayedService> SERVICES =
            List.of(new RelayedService("a", false), new RelayedService("b", true));

    private static TrafficRoute route(String prefix, long timeoutMs, TrafficRoute.Target... to) {
        return new TrafficRoute(
                "r" + prefix,
                "shop.example",
                prefix,
                RequestKind.IDEMPOTENT,
                timeoutMs,
                100,
                0,
                1,
                2,
                false,
                List.of(to));
    }

    private static TrafficRoute.Target to(String service, long weight) {
        return new TrafficRoute.Target(service, weight);
    }

    @ParameterizedTest
    @CsvSource({
        "/x/, /x/",
        "/x/1, /x/",
        "/x/y/1, /x/y/",
        "/x/y/?q=/z/, /x/y/",
        "/x, none",
        "/z/, none"
    })
    void longestPrefixSelectsTheRoute(String path, String prefix) throws TrafficPlanException {
        TrafficPlan plan =
                new TrafficPlan(
                        1,
                        List.of(route("/x/", 10, to("a", 1)), route("/x/y/", 10, to("b", 1))),
                        SERVICES,
                        CallerAuthentication.none(),
                        CallerLimits.DEFAULT);
        assertThat(plan.route("Shop.example:80", path).map(TrafficRoute::pathPrefix).orElse("none"))
                .isEqualTo(prefix);
        assertThat(plan.route("other.example", path)).isEmpty();
    }

    static List<List<TrafficRoute>> contradictoryRoutes() {
        return List.of(
                List.of(route("/x/", 10, to("unknown", 1))),
                List.of(route("/x/", 10, to("a", 1)), route("/x/", 20, to("b", 1))),
                List.of(route("/x/", 10, to("a", 0), to("b", 0))),
                List.of(route("/x/", 0, to("a", 1))),
                List.of(route("x/", 10, to("a", 1))),
                List.of(route("/x/", 10)),
                List.of(route("/x/", 10, to("a", -1), to("b", 2))));
    }

    @ParameterizedTest
    @MethodSource("contradictoryRoutes")
    void contradictoryRoutesAreRejected(List<TrafficRoute> routes) {
        assertThatThrownBy(
                        () ->
                                new TrafficPlan(
                                        1,
                                        routes,
                                        SERVICES,
                                        CallerAuthentication.none(),
                                        CallerLimits.DEFAULT))
                .isInstanceOf(TrafficPlanException.class);
    }

    @Test
    void accountsThatShareAKeyAreRejected() {
        List<RelayedAccount> accounts =
                List.of(
                        new RelayedAccount("one", List.of("k1", "k2")),
                        new RelayedAccount("two", List.of("k2")));
        assertThatThrownBy(
                        () ->
                                new TrafficPlan(
                                        1,
                                        List.of(),
                                        SERVICES,
                                        CallerAuthentication.byKeysOf(accounts),
                                        CallerLimits.DEFAULT))
                .isInstanceOf(TrafficPlanException.class)
                .hasMessageContaining("two");
    }

    @Test
    void accountIsFoundByItsKey() throws TrafficPlanException {
        TrafficPlan plan =
                new TrafficPlan(
                        1,
                        List.of(),
                        SERVICES,
                        CallerAuthentication.byKeysOf(
                                List.of(new RelayedAccount("one", List.of("k1")))),
                        CallerLimits.DEFAULT);
        assertThat(plan.needsKeys()).isTrue();
        assertThat(plan.account("k1").map(RelayedAccount::name)).isEqualTo(Optional.of("one"));
        assertThat(plan.account("k2")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0.0, a", "0.89, a", "0.91, b", "0.999, b"})
    void requestsAreDividedByWeight(double fraction, String service) {
        assertThat(route("/x/", 10, to("a", 90), to("b", 10)).pickService(fraction))
                .isEqualTo(service);
    }

    /** Endpoints keep the data of accounts apart by name (review/10). */
    @ParameterizedTest
    @CsvSource({
        // The second name is the encoded form of the first.
        "'shop ', UTF-8''shop%20",
        // Text that no receiver can decode.
        "\ud800, shop",
        "shop, a\udc00"
    })
    void accountsThatEndpointsCannotTellApartAreRejected(String first, String second) {
        assertThatThrownBy(() -> planOf(first, second)).isInstanceOf(TrafficPlanException.class);
    }

    @ParameterizedTest
    @CsvSource({
        "k\u025bse, k\u0254se",
        "\u00e9, e\u0301",
        "'shop ', shop",
        "'', ' '",
        "'a\tb', a b",
        "50%, 50%25"
    })
    void accountsHaveDifferentFieldValues(String first, String second) throws TrafficPlanException {
        planOf(first, second);

        assertThat(HeaderText.valueOf(first)).isNotEqualTo(HeaderText.valueOf(second));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\ud800", "a\udc00b"})
    void keyThatIsNotValidUnicodeIsRejected(String key) {
        assertThatThrownBy(
                        () ->
                                new TrafficPlan(
                                        1,
                                        List.of(),
                                        SERVICES,
                                        CallerAuthentication.byKeysOf(
                                                List.of(new RelayedAccount("one", List.of(key)))),
                                        CallerLimits.DEFAULT))
                .isInstanceOf(TrafficPlanException.class);
    }

    private static TrafficPlan planOf(String firstAccount, String secondAccount)
            throws TrafficPlanException {
        return new TrafficPlan(
                1,
                List.of(),
                SERVICES,
                CallerAuthentication.byKeysOf(
                        List.of(
                                new RelayedAccount(firstAccount, List.of("k1")),
                                new RelayedAccount(secondAccount, List.of("k2")))),
                CallerLimits.DEFAULT);
    }

    /** A configured prefix may have letters outside of ASCII; callers send its octets. */
    @ParameterizedTest
    @CsvSource({
        "/k\u00c9\u009bse/1, true",
        "/k%C9%9Bse/1, true",
        "/k%c9%9Bse/1, true",
        "/k\u00c9\u0094se/1, false",
        "/k%C9%94se/1, false",
        "/k\u025bse/1, false",
        "/k??se/1, false",
        "/k%C9, false",
        "/k%zz%9Bse/1, false"
    })
    void prefixOutsideOfAsciiIsMatchedByItsOctets(String path, boolean matches)
            throws TrafficPlanException {
        TrafficPlan plan =
                new TrafficPlan(
                        1,
                        List.of(route("/k\u025bse/", 10, to("a", 1))),
                        SERVICES,
                        CallerAuthentication.none(),
                        CallerLimits.DEFAULT);

        assertThat(plan.route("shop.example", path).isPresent()).isEqualTo(matches);
    }

    @Test
    void prefixThatIsNotValidUnicodeIsRejected() {
        assertThatThrownBy(
                        () ->
                                new TrafficPlan(
                                        1,
                                        List.of(route("/\ud800/", 10, to("a", 1))),
                                        SERVICES,
                                        CallerAuthentication.none(),
                                        CallerLimits.DEFAULT))
                .isInstanceOf(TrafficPlanException.class);
    }
}
