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

/** Steps about orders and reads at plain services. */
final class OrderScenarios {

    private static final String ORDERS = "/v1/services/" + Fleet.PLAIN_SERVICE + "/orders";
    private static final int ORDERS_AT_ONCE = 40;
    private static final int READS = 200;

    private OrderScenarios() {}

    static DemoRow answerCutAndResent(DemoWorld world) throws ClientException, FleetException {
        String first = world.fleet().instanceNames().get(4);
        String second = world.fleet().instanceNames().get(5);
        sendAndHangUp(world.fleet().address(first), "cut-1");
        ClientResponse answer =
                world.caller().callAt(world.fleet().address(second), order("cut-1"));
        long runs = runs(world.fleet(), "cut-1");
        return new DemoRow(
                "order sent at " + first + ", answer cut, resent at " + second,
                "the order runs exactly once and the resend gets the answer",
                runs == 1 && answer.status() == 200,
                "runs " + runs + ", status " + answer.status());
    }

    static DemoRow manyOrdersTwice(DemoWorld world) throws FleetException {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        List<String> names = world.fleet().instanceNames();
        for (int i = 0; i < ORDERS_AT_ONCE; i++) {
            for (int copy = 0; copy < 2; copy++) {
                String address = world.fleet().address(names.get((i + copy) % names.size()));
                String key = "twice-" + i;
                answers.add(
                        CompletableFuture.supplyAsync(
                                () -> send(world, address, key), world.executor()));
            }
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        answers.forEach(answer -> outcomes.merge(answer.join(), 1, Integer::sum));
        Map<Long, Integer> runs = new TreeMap<>();
        for (int i = 0; i < ORDERS_AT_ONCE; i++) {
            runs.merge(runs(world.fleet(), "twice-" + i), 1, Integer::sum);
        }
        return new DemoRow(
                ORDERS_AT_ONCE + " orders, each at two instances at once",
                "each order runs exactly once by the service's own count",
                runs.keySet().equals(Set.of(1L)),
                "orders by run count " + runs + ", answers " + outcomes);
    }

    private static String send(DemoWorld world, String address, String key) {
        try {
            return Integer.toString(world.caller().callAt(address, order(key)).status());
        } catch (ClientException e) {
            return e.problem()
                    .map(problem -> problem.code() + " ran " + problem.ran())
                    .orElse("no answer");
        }
    }

    static DemoRow readsUnderLoad(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(24, 200, 1);
        long[] latenciesMs = new long[READS];
        for (int i = 0; i < READS; i++) {
            long startMs = world.clock().nowMs();
            world.caller()
                    .call(
                            ClientRequest.of(
                                    "GET",
                                    "/v1/services/" + Fleet.PLAIN_SERVICE + "/read/totals/" + i));
            latenciesMs[i] = world.clock().nowMs() - startMs;
        }
        java.util.Arrays.sort(latenciesMs);
        String fault = DemoWorld.awaitAll(generations);
        return new DemoRow(
                READS + " reads while 24 generations run",
                "every read is answered, every generation is whole",
                fault.isEmpty(),
                fault.isEmpty()
                        ? "p50 "
                                + latenciesMs[READS / 2]
                                + " ms, p99 "
                                + latenciesMs[READS * 99 / 100]
                                + " ms"
                        : fault);
    }

    private static ClientRequest order(String key) {
        return ClientRequest.of("POST", ORDERS)
                .withHeader("Idempotency-Key", key)
                .withBody("application/json", body(key).getBytes(StandardCharsets.UTF_8));
    }

    private static String body(String key) {
        return "{\"pledge\":\"" + key + "\"}";
    }

    private static long runs(Fleet fleet, String key) {
        long runs = 0;
        for (String service : fleet.serviceNames()) {
            JsonNode counts = HttpProbe.json(fleet.address(service), "/runs");
            runs += counts.path(DemoRecords.ACCOUNT + "/" + key).asLong();
        }
        return runs;
    }

    /** Sends a whole order and closes the connection without reading the answer. */
    private static void sendAndHangUp(String address, String key) throws FleetException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
            OutputStream out = socket.getOutputStream();
            String head =
                    "POST "
                            + ORDERS
                            + " HTTP/1.1\r\nHost: "
                            + address
                            + "\r\nAuthorization: Bearer "
                            + Fleet.ACCOUNT_KEY
                            + "\r\nIdempotency-Key: "
                            + key
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + body(key).length()
                            + "\r\n\r\n"
                            + body(key);
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.shutdownOutput();
        } catch (IOException | CompletionException e) {
            throw new FleetException("send-order", address, "cannot send the order", e);
        }
    }
}
