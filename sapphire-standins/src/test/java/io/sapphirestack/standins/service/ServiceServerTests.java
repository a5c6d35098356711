package io.sapphirestack.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.standins.support.BufferedHttpResponse;
import io.sapphirestack.standins.support.StandInClientConnection;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a service that miscounts executions, which would hide orders that were executed
 * twice.
 */
class ServiceServerTests {

    private ServiceServer service;

    @BeforeEach
    void start() throws IOException {
        service = ServiceServer.start("127.0.0.1:0", true);
    }

    @AfterEach
    void stop() {
        service.close();
    }

    private BufferedHttpResponse call(String method, String path, String body) throws IOException {
        return StandInClientConnection.sendOnNewConnection(
                service.address(),
                10_000,
                method,
                path,
                Map.of("Sapphire-Account", "a1"),
                body == null ? null : body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void everyExecutionIsCounted() throws IOException {
        assertThat(call("POST", "/orders/k%2F1", "{}").json().path("run").asInt()).isEqualTo(1);
        assertThat(call("POST", "/orders/k%2F1", "{}").json().path("run").asInt()).isEqualTo(2);
        assertThat(call("GET", "/runs", null).json().path("a1/k/1").asInt()).isEqualTo(2);
        assertThat(call("GET", "/orders/k%2F1", null).status()).isEqualTo(200);
        assertThat(call("GET", "/orders/other", null).status()).isEqualTo(404);
    }

    @Test
    void orderWithDroppedResponseIsExecutedAndRefusedOrderIsNot() throws IOException {
        call("POST", "/faults", "{\"dropAnswers\":1,\"refuseOrders\":1}");
        BufferedHttpResponse refused = call("POST", "/orders/k1", "{}");
        assertThat(refused.headers()).containsEntry("Sapphire-Run", "not-run");
        assertThatThrownBy(() -> call("POST", "/orders/k2", "{}")).isInstanceOf(IOException.class);
        assertThat(call("GET", "/runs", null).text()).isEqualTo("{\"a1/k2\":1}");
    }

    @Test
    void readContentDependsOnThePathOnly() throws IOException {
        assertThat(call("GET", "/read/stock/7?day=2", null).json().path("value").asText())
                .isEqualTo(ServiceServer.expectedReadContent("stock/7?day=2").get("value"));
    }
}
