package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.trust.KeyHash;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs three instances, each with a voter, in the process of the test, and announces two fake
 * endpoints to them.
 */
final class TestCluster implements AutoCloseable {

    static final String OPERATOR_KEY = "operator key";
    static final String ACCOUNT_KEY = "account key";
    static final String ENDPOINT_KEY = "endpoint key";
    private static final String CLUSTER_KEY = "cluster key of the test";
    private static final long TIMEOUT_S = 90;
    private static final long ANNOUNCE_INTERVAL_MS = 300;
    private static final ObjectMapper JSON = new ObjectMapper();

    final FakeEndpoints endpoints = new FakeEndpoints();
    final List<InstanceAssembly> instances = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong sequence = new AtomicLong();
    private volatile int announcedInstance = 1;

    TestCluster(Path folder) throws Exception {
        List<PeerListener> listeners = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            listeners.add(new PeerListener("peer" + i, "127.0.0.1:0", CLUSTER_KEY));
        }
        List<String> voters =
                listeners.stream().map(PeerListener::address).collect(Collectors.toList());
        for (int i = 1; i <= 3; i++) {
            DaemonSettings settings =
                    new DaemonSettings(
                            new DaemonSettings.Instance("i" + i, "az" + i, "r1"),
                            "127.0.0.1:0",
                            voters.get(i - 1),
                            CLUSTER_KEY,
                            voters,
                            Optional.of(folder.resolve("i" + i)),
                            KeyHash.create(OPERATOR_KEY, new byte[] {7}),
                            DaemonSettings.Limits.DEFAULT);
            InstanceAssembly instance = new InstanceAssembly(settings, listeners.get(i - 1));
            instances.add(instance);
            instance.start();
        }
        for (int i = 0; i < 3; i++) {
            int index = i;
            await("instance is ready", () -> get(index, "/ready", "").statusCode() == 200);
        }
    }

    void putRecords() throws Exception {
        String endpointKey = KeyHash.create(ENDPOINT_KEY, new byte[] {8});
        putRecord(
                "service/scribe",
                "{\"type\":\"ENGINE\",\"endpointKeyHash\":\"" + endpointKey + "\"}");
        putRecord(
                "service/ledger",
                "{\"type\":\"PLAIN\",\"endpointKeyHash\":\"" + endpointKey + "\"}");
        putRecord(
                "account/acme",
                "{\"keyHash\":\"" + KeyHash.create(ACCOUNT_KEY, new byte[] {9}) + "\"}");
        long revision =
                putRecord(
                        "model/m1",
                        "{\"service\":\"scribe\",\"pin\":{\"model\":\"base\",\"adapter\":\"\","
                                + "\"version\":\"1\"}}");
        JsonNode inForce =
                JSON.readTree(
                        get(
                                        0,
                                        "/admin/v1/revision?timeoutMs=60000&waitFor=" + revision,
                                        OPERATOR_KEY)
                                .body());
        if (!inForce.path("inForce").asBoolean()) {
            throw new AssertionError("revision " + revision + " is not in force: " + inForce);
        }
    }

    long putRecord(String name, String body) throws Exception {
        HttpRequest request =
                request(0, "/admin/v1/records/" + name, OPERATOR_KEY)
                        .header("If-None-Match", "*")
                        .header("Sapphire-Change-Id", UUID.randomUUID().toString())
                        .PUT(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"schemaVersion\":1,\"minimumReader\":1,\"body\":"
                                                + body
                                                + "}"))
                        .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new AssertionError(name + ": " + response.body());
        }
        return JSON.readTree(response.body()).path("revision").asLong();
    }

    void announceEndpoints() throws Exception {
        announcer.scheduleWithFixedDelay(
                this::announceOnce, 0, ANNOUNCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < instances.size(); i++) {
            int index = i;
            await(
                    "instance knows the endpoints",
                    () ->
                            JSON.readTree(get(index, "/admin/v1/fleet", OPERATOR_KEY).body())
                                            .path("endpoints")
                                            .size()
                                    == 2);
        }
    }

    private void announceOnce() {
        String models = "[{\"model\":\"base\",\"adapter\":\"\",\"version\":\"1\"}]";
        announce("e1", "scribe", models);
        announce("l1", "ledger", "[]");
    }

    private void announce(String id, String service, String models) {
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"service\":\""
                        + service
                        + "\",\"address\":\""
                        + endpoints.address()
                        + "\",\"availabilityZone\":\"az1\",\"epochMs\":1,\"sequence\":"
                        + sequence.incrementAndGet()
                        + ",\"models\":"
                        + models
                        + ",\"load\":{\"running\":0,\"queued\":0,\"slots\":8,\"tokensPerS\":1}}";
        try {
            HttpRequest request =
                    request(announcedInstance, "/v1/announcements", ENDPOINT_KEY)
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            client.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The instance is closing; sends the next announcement to another instance.
            announcedInstance = (announcedInstance + 1) % instances.size();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    HttpRequest.Builder request(int instance, String path, String key) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(
                        URI.create("http://" + instances.get(instance).httpAddress() + path));
        return key.isEmpty() ? builder : builder.header("Authorization", "Bearer " + key);
    }

    HttpResponse<String> get(int instance, String path, String key) throws Exception {
        return send(request(instance, path, key));
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<Stream<String>> openStream(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofLines());
    }

    /** Waits for a condition, for at most 90 s; this is far above the expected time. */
    static void await(String description, Callable<Boolean> condition) throws Exception {
        CountDownLatch neverReleased = new CountDownLatch(1);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not within " + TIMEOUT_S + " s: " + description);
            }
            neverReleased.await(20, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        announcer.shutdownNow();
        instances.forEach(InstanceAssembly::close);
        endpoints.close();
    }
}
