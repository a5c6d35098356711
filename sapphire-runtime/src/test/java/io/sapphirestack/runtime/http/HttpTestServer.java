package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.endpoint.AnnouncementReceiver;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.Metrics;
import io.sapphirestack.runtime.order.OrderRequest;
import io.sapphirestack.runtime.order.OrderService;
import io.sapphirestack.runtime.order.ReadService;
import io.sapphirestack.runtime.order.ServiceResponse;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** HTTP interface of one instance that calls fake services. */
final class HttpTestServer implements AutoCloseable {

    static final String ACME_KEY = "key of acme";
    static final String OTHER_KEY = "key of other";
    static final String READER_KEY = "key of a reading operator";
    static final String BOOTSTRAP_KEY = "bootstrap key";
    static final InstanceRef SELF = new InstanceRef(InstanceId.of("i1"), 1);
    static final InstanceRef PEER = new InstanceRef(InstanceId.of("i2"), 4);
    static final ObjectMapper JSON = new ObjectMapper();

    final Blackboard blackboard = Blackboard.create();
    final FakeGenerationService generations = new FakeGenerationService();
    final AtomicLong clockOffsetMs = new AtomicLong();
    final List<ControlCommand> commands = new CopyOnWriteArrayList<>();
    final List<OrderRequest> orders = new CopyOnWriteArrayList<>();
    final List<String> reads = new CopyOnWriteArrayList<>();
    volatile Function<ControlCommand, ControlResult> control =
            command -> new ControlResult.RecordAccepted(11);
    volatile FleetStatus fleet = new FleetStatus("127.0.0.1:1", 10, List.of());
    volatile RuntimeException readFailure;

    /** Size of the responses to reads, 0 for the path of the read. */
    volatile int responseBytes;

    /** Content type of the responses of endpoints. */
    volatile String contentType = "text/plain";

    volatile ControlResult outcome = new ControlResult.OrderNotFound();
    final HttpFrontend frontend;
    static final long MEMORY_BYTES = 16L * 1_024 * 1_024;
    private final HttpClient client = HttpClient.newHttpClient();

    HttpTestServer() throws ServiceException {
        this(new HttpSettings("127.0.0.1:0", 64, 8, 8, 8, 64 * 1024));
    }

    HttpTestServer(HttpSettings settings) throws ServiceException {
        blackboard.self().publish(Optional.of(SELF));
        blackboard.readiness().publish(Readiness.READY);
        blackboard.configurationLease().publish(new ConfigurationLease(Long.MAX_VALUE));
        publish(10, List.of(SELF, PEER), List.of(), defaultRecords());
        OrderService orderService =
                new OrderService() {
                    @Override
                    public ServiceResponse submit(OrderRequest request) {
                        orders.add(request);
                        return new ServiceResponse(201, contentType, request.body(), "l1");
                    }

                    @Override
                    public ControlResult outcome(io.sapphirestack.core.id.OrderKey key) {
                        return outcome;
                    }
                };
        ReadService readService =
                (account, service, path, deadlineMs) -> {
                    reads.add(path);
                    if (readFailure != null) {
                        throw readFailure;
                    }
                    byte[] body = responseBytes == 0 ? path.getBytes() : new byte[responseBytes];
                    return new ServiceResponse(200, contentType, body, "l1");
                };
        AnnouncementReceiver receiver = (announcement, key) -> {};
        MillisClock monotonic = MillisClock.monotonic();
        frontend =
                new HttpFrontend(
                        settings,
                        new FrontendServices(
                                blackboard,
                                new RecordSpecResolver(),
                                generations,
                                orderService,
                                readService,
                                receiver,
                                new FakeControl(),
                                (account, spec) -> {},
                                new ByteBudget(MEMORY_BYTES),
                                new Metrics(),
                                new BurnRecorder(MillisClock.wall()),
                                () -> monotonic.nowMs() + clockOffsetMs.get(),
                                KeyHash.create(BOOTSTRAP_KEY, new byte[] {1})));
        frontend.start();
    }

    private final class FakeControl implements ControlClient {
        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
            commands.add(command);
            try {
                return CompletableFuture.completedFuture(control.apply(command));
            } catch (IllegalStateException e) {
                return CompletableFuture.failedFuture(e.getCause());
            }
        }

        @Override
        public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
            return CompletableFuture.completedFuture(fleet);
        }
    }

    static List<ConfigRecord> defaultRecords() {
        return List.of(
                record("account", "acme", 3, keyBody("keyHash", ACME_KEY)),
                record("account", "other", 4, keyBody("keyHash", OTHER_KEY)),
                record("operator", "reader", 5, keyBody("keyHash", READER_KEY)),
                record(
                        "service",
                        "ledger",
                        6,
                        "{\"type\":\"PLAIN\",\"endpointKeyHash\":\""
                                + KeyHash.create("k", new byte[] {3})
                                + "\"}"));
    }

    static String keyBody(String field, String key) {
        return "{\"" + field + "\":\"" + KeyHash.create(key, new byte[] {2}) + "\"}";
    }

    static ConfigRecord record(String kind, String name, long revision, String body) {
        try {
            return new ConfigRecord(
                    new RecordKey(kind, name), 1, 1, revision, "c", "op", JSON.readTree(body));
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    void publish(
            long revision,
            List<InstanceRef> live,
            List<MembershipEvent> events,
            List<ConfigRecord> records) {
        Map<InstanceId, InstanceInfo> instances =
                live.stream()
                        .collect(
                                Collectors.toMap(
                                        InstanceRef::id,
                                        ref ->
                                                new InstanceInfo(
                                                        ref,
                                                        "az-" + ref.id(),
                                                        "r1",
                                                        "10.0.0.1:1",
                                                        "http-" + ref.id() + ":1",
                                                        1)));
        Map<RecordKey, ConfigRecord> byKey =
                records.stream().collect(Collectors.toMap(ConfigRecord::key, r -> r));
        blackboard.control().publish(new ControlView(revision, byKey, instances, events));
    }

    static List<ConfigRecord> append(List<ConfigRecord> records, ConfigRecord more) {
        return Stream.concat(records.stream(), Stream.of(more)).collect(Collectors.toList());
    }

    HttpRequest.Builder request(String path, String key) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + frontend.address() + path));
        return key.isEmpty() ? builder : builder.header("Authorization", "Bearer " + key);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<Stream<String>>> sendAsync(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofLines());
    }

    HttpResponse<String> get(String path, String key) throws Exception {
        return send(request(path, key));
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return JSON.readTree(response.body());
    }

    static HttpRequest.BodyPublisher body(String text) {
        return HttpRequest.BodyPublishers.ofString(text);
    }

    @Override
    public void close() {
        frontend.close();
    }
}
