package io.sapphirestack.standins.support;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against a selector that keeps choosing a failed address, or that fetches the list of
 * addresses too often or not again after it expires.
 */
class InstanceSelectorTests {

    @Test
    void listIsCachedUntilItExpiresAndFailedAddressesAreAvoided() throws IOException {
        AtomicInteger fetches = new AtomicInteger();
        AtomicLong nowMs = new AtomicLong(1_000);
        try (StandInServer instance =
                StandInServer.start(
                        "127.0.0.1:0",
                        (request, response, context) -> {
                            fetches.incrementAndGet();
                            HttpMessages.respondJson(
                                    response,
                                    200,
                                    Map.of(
                                            "ttlMs",
                                            2_000,
                                            "addresses",
                                            List.of(entry("h1:1", "az1"), entry("h2:1", "az2"))));
                        })) {
            InstanceSelector selector =
                    new InstanceSelector(List.of(instance.address()), "az1", 1, nowMs::get);
            assertThat(selector.chooseAddress()).isEqualTo("h1:1");
            selector.markFailed("h1:1");
            assertThat(selector.chooseAddress()).isEqualTo("h2:1");
            assertThat(fetches).hasValue(1);
            nowMs.addAndGet(4_000);
            selector.chooseAddress();
            assertThat(fetches).hasValue(2);
        }
    }

    private static Map<String, Object> entry(String address, String availabilityZone) {
        return Map.of("address", address, "availabilityZone", availabilityZone, "weight", 1);
    }
}
