package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.client.ClientResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Steps that check orders and reads at plain services. Stateless. */
final class OrderSteps {

    private static final String ORDERS_PATH = "/v1/services/" + Fleet.PLAIN_SERVICE + "/orders";
    private static final int CONCURRENT_ORDERS = 40;
    private static final int READS = 200;

    private OrderSteps() {}

    static StepResult orderResentAfterLostResponse(DemoContext context)
            throws ClientException, FleetException {
        String first = context.fleet().instanceNames().get(4);
        String second = context.fleet().instanceNames().get(5);
        sendWithoutReadingResponse(context.fleet().address(first), "cut-1");
        ClientResponse response =
                context.caller().callAt(context.fleet().address(second), orderRequest("cut-1"));
        long executions = executionCount(context.fleet(), "cut-1");
        return new StepResult(
                "order sent at "
                        + first
                        + ", connection closed before the response, resent at "
                        + second,
                "the order is executed exactly once and the resend gets the response",
                executions == 1 && response.status() == 200,
                "executions " + executions + ", status " + response.status());
    }

    static StepResult ordersSentTwice(DemoContext context) throws FleetException {
        List<CompletableFuture<String>> responses = new ArrayList<>();
        List<String> names = context.fleet().instanceNames();
        for (int i = 0; i < CONCURRENT_ORDERS; i++) {
            for (int copy = 0; copy < 2; copy++) {
                String address = context.fleet().address(names.get((i + copy) % names.size()));
                String key = "twice-" + i;
                responses.add(
                        CompletableFuture.supplyAsync(
                                () -> sendOrder(context, address, key), context.executor()));
            }
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        responses.forEach(response -> outcomes.merge(response.join(), 1, Integer::sum));
        Map<Long, Integer> executions = new TreeMap<>();
        for (int i = 0; i < CONCURRENT_ORDERS; i++) {
            executions.merge(executionCount(context.fleet(), "twice-" + i), 1, Integer::sum);
        }
        return new StepResult(
                CONCURRENT_ORDERS + " orders, each sent to two instances at once",
                "each order is executed exactly once by the service's own count",
                executions.keySet().equals(Set.of(1L)),
                "orders by execution count " + executions + ", responses " + outcomes);
    }

    private static String sendOrder(DemoContext context, String address, String key) {
        try {
            return Integer.toString(context.caller().callAt(address, orderRequest(key)).status());
        } catch (ClientException e) {
            return e.problem()
                    .map(problem -> problem.code() + " ran " + problem.executed())
                    .orElse("no response");
        }
    }

    static StepResult readsUnderLoad(DemoContext context) throws ClientException, FleetException {
        List<CheckedGeneration> generations = context.startGenerations(24, 200, 1);
        long[] latenciesMs = new long[READS];
        for (int i = 0; i < READS; i++) {
            long startMs = context.clock().nowMs();
            context.caller()
                    .call(
                            ClientRequest.of(
                                    "GET",
                                    "/v1/services/" + Fleet.PLAIN_SERVICE + "/read/totals/" + i));
            latenciesMs[i] = context.clock().nowMs() - startMs;
        }
        java.util.Arrays.sort(latenciesMs);
        String failure = DemoContext.awaitFirstFailure(generations);
        return new StepResult(
                READS + " reads while 24 generations run",
                "every read gets a response, every generation is complete",
                failure.isEmpty(),
                failure.isEmpty()
                        ? "p50 "
                                + latenciesMs[READS / 2]
                                + " ms, p99 "
                                + latenciesMs[READS * 99 / 100]
                                + " ms"
                        : failure);
    }

    private static ClientRequest orderRequest(String key) {
        return ClientRequest.of("POST", ORDERS_PATH)
                .withHeader("Idempotency-Key", key)
                .withBody("application/json", orderBody(key).getBytes(StandardCharsets.UTF_8));
    }

    private static String orderBody(String key) {
        return "{\"pledge\":\"" + key + "\"}";
    }

    private static long executionCount(Fleet fleet, String key) {
        long executions = 0;
        for (String service : fleet.serviceNames()) {
            JsonNode counts = HttpProbe.json(fleet.address(service), "/runs");
            executions += counts.path(DemoRecords.ACCOUNT + "/" + key).asLong();
        }
        return executions;
    }

    /** Sends a complete order and closes the connection without reading the response. */
    private static void sendWithoutReadingResponse(String address, String key)
            throws FleetException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
            OutputStream out = socket.getOutputStream();
            String head =
                    "POST "
                            + ORDERS_PATH
                            + " HTTP/1.1\r\nHost: "
                            + address
                            + "\r\nAuthorization: Bearer "
                            + Fleet.ACCOUNT_KEY
                            + "\r\nIdempotency-Key: "
                            + key
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + orderBody(key).length()
                            + "\r\n\r\n"
                            + orderBody(key);
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.shutdownOutput();
        } catch (IOException | CompletionException e) {
            throw new FleetException("send-order", address, "cannot send the order", e);
        }
    }
}
