package io.sapphirestack.daemon;

import static io.sapphirestack.daemon.TestCluster.ACCOUNT_KEY;
import static io.sapphirestack.daemon.TestCluster.OPERATOR_KEY;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against components of an instance that are connected wrongly: runs three whole instances
 * through a failover of a stream, a duplicate order and planned stops.
 */
@Timeout(180)
class ClusterTests {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKENS = 40;
    private static final long TIMEOUT_S = 90;

    @TempDir Path folder;

    @Test
    void streamContinuesAtAnotherInstanceAfterItsOwnerStops() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.announceEndpoints();
            cluster.endpoints.allowTokens(10);
            HttpResponse<Stream<String>> response =
                    cluster.openStream(
                            cluster.request(0, "/v1/completions", ACCOUNT_KEY)
                                    .POST(
                                            HttpRequest.BodyPublishers.ofString(
                                                    "{\"model\":\"m1\",\"prompt\":\"p\",\"max_tokens\":"
                                                            + TOKENS
                                                            + ",\"stream\":true}")));
            assertThat(response.statusCode()).isEqualTo(200);
            String id = response.headers().firstValue("Sapphire-Generation-Id").orElseThrow();
            List<String> received = new ArrayList<>();
            readTokens(response.body().iterator(), received, 10);
            assertThat(received).isEqualTo(expectedTokens(0, 10));

            cluster.instances.get(0).close();
            cluster.endpoints.allowTokens(TOKENS);
            boolean finished = false;
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (!finished && System.nanoTime() < deadlineNanos) {
                HttpResponse<Stream<String>> continuation =
                        cluster.openStream(
                                cluster.request(1, "/v1/generations/" + id + "/stream", ACCOUNT_KEY)
                                        .header("Last-Event-ID", "" + (received.size() - 1)));
                if (continuation.statusCode() == 200) {
                    finished =
                            readTokens(continuation.body().iterator(), received, Integer.MAX_VALUE);
                }
            }

            assertThat(finished).isTrue();
            assertThat(received).isEqualTo(expectedTokens(0, TOKENS));
        }
    }

    @Test
    void orderSentToTwoInstancesIsExecutedOnce() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.announceEndpoints();
            HttpResponse<String> first = cluster.send(orderRequest(cluster, 1));
            HttpResponse<String> duplicate = cluster.send(orderRequest(cluster, 2));

            assertThat(first.statusCode()).isEqualTo(200);
            assertThat(first.body()).isEqualTo("execution 1");
            assertThat(duplicate.body()).isEqualTo("execution 1");
            assertThat(duplicate.headers().firstValue("Sapphire-Stored")).hasValue("true");
            assertThat(cluster.endpoints.executedOrders()).isEqualTo(1);
            assertThat(cluster.get(0, "/v1/services/ledger/read/x", ACCOUNT_KEY).body())
                    .isEqualTo("read");
        }
    }

    private static HttpRequest.Builder orderRequest(TestCluster cluster, int instance) {
        return cluster.request(instance, "/v1/services/ledger/orders", ACCOUNT_KEY)
                .header("Idempotency-Key", "key-1")
                .POST(HttpRequest.BodyPublishers.ofString("one refill"));
    }

    @Test
    void plannedStopRemovesAddressAndStopsTheInstance() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.putRecord("stop/instance:i3", "{}");
            TestCluster.await(
                    "address list without i3",
                    () -> !cluster.get(0, "/v1/addresses", "").body().contains("\"i3\""));
            cluster.instances.get(2).lifecycle().stopCompletion().get(TIMEOUT_S, TimeUnit.SECONDS);
            cluster.instances.get(2).close();
            TestCluster.await(
                    "stop is reported as done", () -> stopState(cluster).equals("stopped"));
            assertThat(cluster.get(0, "/ready", "").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void stopRequestedBySignalDeletesItsRecord() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            InstanceLifecycle lifecycle = cluster.instances.get(0).lifecycle();
            lifecycle.planStop();
            TestCluster.await(
                    "address list without i1",
                    () -> !cluster.get(1, "/v1/addresses", "").body().contains("\"i1\""));
            lifecycle.stopCompletion().get(TIMEOUT_S, TimeUnit.SECONDS);
            TestCluster.await(
                    "record of the stop is deleted",
                    () ->
                            JSON.readTree(
                                            cluster.get(
                                                            1,
                                                            "/admin/v1/records?kind=stop",
                                                            OPERATOR_KEY)
                                                    .body())
                                    .path("records")
                                    .isEmpty());
        }
    }

    private static String stopState(TestCluster cluster) throws Exception {
        JsonNode fleet = JSON.readTree(cluster.get(0, "/admin/v1/fleet", OPERATOR_KEY).body());
        return fleet.at("/stops/0/state").asText();
    }

    private static List<String> expectedTokens(long from, long to) {
        return LongStream.range(from, to)
                .mapToObj(offset -> offset + ":" + FakeEndpoints.tokenText(offset))
                .collect(Collectors.toList());
    }

    /**
     * Adds tokens as {@code offset:text}; returns whether the stream was read to its last event.
     */
    private static boolean readTokens(Iterator<String> lines, List<String> target, int limit)
            throws Exception {
        String id = "";
        try {
            while (target.size() < limit && lines.hasNext()) {
                String line = lines.next();
                if (line.startsWith("id: ")) {
                    id = line.substring(4);
                } else if (line.equals("data: [DONE]")) {
                    return true;
                } else if (line.startsWith("data: ") && !id.isEmpty()) {
                    String text = JSON.readTree(line.substring(6)).at("/choices/0/text").asText();
                    target.add(id + ":" + text);
                    id = "";
                }
            }
        } catch (UncheckedIOException e) {
            // The instance closed the connection; the caller continues at another instance.
            return false;
        }
        return false;
    }
}
