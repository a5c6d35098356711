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
 * Guards the wiring of whole instances: what each part does alone must hold when they run together.
 */
@Timeout(180)
class ClusterTests {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKENS = 40;
    private static final long LIMIT_S = 90;

    @TempDir Path folder;

    @Test
    void streamContinuesAtAnotherInstanceWhenItsOwnerIsGone() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.announceEndpoints();
            cluster.endpoints.allow(10);
            HttpResponse<Stream<String>> response =
                    cluster.open(
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
            assertThat(received).isEqualTo(expected(0, 10));

            cluster.instances.get(0).close();
            cluster.endpoints.allow(TOKENS);
            boolean whole = false;
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
            while (!whole && System.nanoTime() < deadlineNanos) {
                HttpResponse<Stream<String>> rest =
                        cluster.open(
                                cluster.request(1, "/v1/generations/" + id + "/stream", ACCOUNT_KEY)
                                        .header("Last-Event-ID", "" + (received.size() - 1)));
                if (rest.statusCode() == 200) {
                    whole = readTokens(rest.body().iterator(), received, Integer.MAX_VALUE);
                }
            }

            assertThat(whole).isTrue();
            assertThat(received).isEqualTo(expected(0, TOKENS));
        }
    }

    @Test
    void orderRunsOnceAlthoughItIsSentToTwoInstances() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.announceEndpoints();
            HttpResponse<String> first = cluster.send(order(cluster, 1));
            HttpResponse<String> again = cluster.send(order(cluster, 2));

            assertThat(first.statusCode()).isEqualTo(200);
            assertThat(first.body()).isEqualTo("run 1");
            assertThat(again.body()).isEqualTo("run 1");
            assertThat(again.headers().firstValue("Sapphire-Stored")).hasValue("true");
            assertThat(cluster.endpoints.orderRuns()).isEqualTo(1);
            assertThat(cluster.get(0, "/v1/services/ledger/read/x", ACCOUNT_KEY).body())
                    .isEqualTo("read");
        }
    }

    private static HttpRequest.Builder order(TestCluster cluster, int instance) {
        return cluster.request(instance, "/v1/services/ledger/orders", ACCOUNT_KEY)
                .header("Idempotency-Key", "key-1")
                .POST(HttpRequest.BodyPublishers.ofString("one refill"));
    }

    @Test
    void plannedStopLeavesTheAddressListAndEndsTheInstance() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            cluster.putRecords();
            cluster.put("stop/instance:i3", "{}");
            TestCluster.await(
                    "address list without i3",
                    () -> !cluster.get(0, "/v1/addresses", "").body().contains("\"i3\""));
            cluster.instances.get(2).lifecycle().left().get(LIMIT_S, TimeUnit.SECONDS);
            cluster.instances.get(2).close();
            TestCluster.await("stop is shown as done", () -> stopState(cluster).equals("stopped"));
            assertThat(cluster.get(0, "/ready", "").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void signalStopsAnInstanceAndLeavesNoRecordBehind() throws Exception {
        try (TestCluster cluster = new TestCluster(folder)) {
            InstanceLifecycle life = cluster.instances.get(0).lifecycle();
            life.planStop();
            TestCluster.await(
                    "address list without i1",
                    () -> !cluster.get(1, "/v1/addresses", "").body().contains("\"i1\""));
            life.left().get(LIMIT_S, TimeUnit.SECONDS);
            TestCluster.await(
                    "record of the stop is gone",
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

    private static List<String> expected(long from, long to) {
        return LongStream.range(from, to)
                .mapToObj(offset -> offset + ":" + FakeEndpoints.token(offset))
                .collect(Collectors.toList());
    }

    /** Adds tokens as {@code offset:text}; returns whether the stream ended with its last event. */
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
            // The instance went away; the caller continues at another one.
            return false;
        }
        return false;
    }
}
