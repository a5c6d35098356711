package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientOptions;
import io.sapphirestack.client.ClientRequest;
import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.trust.KeyHash;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * System under demonstration: entry instances, engines, plain services and a weight store, each a
 * process that listens on loopback. {@link #close()} kills all of them and may be called from a
 * shutdown hook.
 */
public final class Fleet implements Closeable {

    static final String OPERATOR_KEY = "demo-operator-key";
    static final String ACCOUNT_KEY = "demo-account-key";
    static final String ENDPOINT_KEY = "demo-endpoint-key";
    static final String ENGINE_SERVICE = "scribe";
    static final String PLAIN_SERVICE = "ledger";
    static final String MODEL = "route-plan";
    private static final String CLUSTER_KEY = "demo-cluster-key";
    private static final byte[] SALT = {1, 2, 3, 4, 5, 6, 7, 8};
    private static final long EXIT_WAIT_MS = 5_000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FleetPlan plan;
    private final Path repositoryRoot;
    private final Path folder;
    private final MillisClock clock;
    private final Map<String, ManagedProcess> processes = new ConcurrentHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<String> instanceNames = new ArrayList<>();

    /**
     * Creates a fleet without starting any process.
     *
     * @param plan number of processes and speed of the engines
     * @param repositoryRoot folder of the repository
     * @param folder empty folder for settings, data and logs
     * @param clock monotonic clock
     */
    public Fleet(FleetPlan plan, Path repositoryRoot, Path folder, MillisClock clock) {
        this.plan = plan;
        this.repositoryRoot = repositoryRoot;
        this.folder = folder;
        this.clock = clock;
    }

    /**
     * Starts the entry instances and waits until each is ready.
     *
     * @param timeoutMs longest time to wait, in milliseconds
     * @throws FleetException if a process cannot be started or does not become ready in time
     */
    public void startInstances(long timeoutMs) throws FleetException {
        int[] ports = freePorts(2 * plan.instances());
        List<String> voters = new ArrayList<>();
        for (int i = 0; i < plan.voters(); i++) {
            voters.add("127.0.0.1:" + ports[2 * i + 1]);
        }
        for (int i = 0; i < plan.instances(); i++) {
            String name = "i" + (i + 1);
            addresses.put(name, "127.0.0.1:" + ports[2 * i]);
            instanceNames.add(name);
            writeSettings(name, instanceSettings(i, "127.0.0.1:" + ports[2 * i + 1], voters));
            startInstance(name);
        }
        for (String name : instanceNames) {
            awaitCondition("ready", name, timeoutMs, () -> isReady(name));
        }
    }

    private ObjectNode instanceSettings(int index, String peerAddress, List<String> voters) {
        String name = "i" + (index + 1);
        ObjectNode settings = MAPPER.createObjectNode();
        settings.putObject("instance")
                .put("id", name)
                .put("availabilityZone", FleetPlan.availabilityZone(index))
                .put("region", "r1");
        settings.putObject("http").put("listen", addresses.get(name));
        settings.putObject("peer").put("listen", peerAddress).put("clusterKey", CLUSTER_KEY);
        ObjectNode control = settings.putObject("control");
        ArrayNode voterList = control.putArray("voters");
        voters.forEach(voterList::add);
        if (index < plan.voters()) {
            control.put("voter", true);
            settings.put("dataFolder", folder.resolve("data-" + name).toString());
        }
        return settings.put("bootstrapOperatorKeyHash", KeyHash.create(OPERATOR_KEY, SALT));
    }

    private void writeSettings(String name, JsonNode settings) throws FleetException {
        try {
            Files.writeString(settingsFile(name), settings.toPrettyString());
        } catch (IOException e) {
            throw new FleetException("write-settings", name, "cannot write the settings", e);
        }
    }

    private Path settingsFile(String name) {
        return folder.resolve(name + ".json");
    }

    /**
     * Starts an instance, or restarts it after it has been killed.
     *
     * @param name name of the instance
     * @throws FleetException if the process cannot be started
     */
    public void startInstance(String name) throws FleetException {
        startProcess(
                name,
                List.of(
                        repositoryRoot.resolve("bin/sapphired").toString(),
                        "--config",
                        settingsFile(name).toString()));
    }

    /**
     * Starts the weight store, the engines and the plain services, and waits until they are
     * announced. The records of their services must be in force.
     *
     * @param timeoutMs longest time to wait, in milliseconds
     * @throws FleetException if a process cannot be started or is not announced in time
     */
    public void startEndpoints(long timeoutMs) throws FleetException {
        int[] ports = freePorts(plan.engines() + plan.services() + 1);
        String storeAddress = "127.0.0.1:" + ports[ports.length - 1];
        addresses.put("weights", storeAddress);
        startStandIn("weights", List.of("weights", "--listen", storeAddress));
        for (int i = 0; i < plan.engines() + plan.services(); i++) {
            boolean isEngine = i < plan.engines();
            String name = isEngine ? "e" + (i + 1) : "s" + (i - plan.engines() + 1);
            addresses.put(name, "127.0.0.1:" + ports[i]);
            List<String> arguments = new ArrayList<>();
            arguments.addAll(
                    List.of(
                            isEngine ? "engine" : "service",
                            "--id",
                            name,
                            "--listen",
                            addresses.get(name),
                            "--service",
                            isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
                            "--zone",
                            FleetPlan.availabilityZone(i),
                            "--entry",
                            addresses(),
                            "--key",
                            ENDPOINT_KEY));
            if (isEngine) {
                arguments.addAll(
                        List.of(
                                "--token-ms",
                                Long.toString(plan.tokenMs()),
                                "--weights",
                                storeAddress));
            }
            startStandIn(name, arguments);
        }
        try (SapphireClient operator = client(OPERATOR_KEY)) {
            int expectedCount = plan.engines() + plan.services();
            awaitCondition(
                    "announced",
                    "endpoints",
                    timeoutMs,
                    () -> countEndpoints(operator) == expectedCount);
        }
    }

    private static int countEndpoints(SapphireClient operator) {
        try {
            return operator.call(ClientRequest.of("GET", "/admin/v1/fleet"))
                    .json()
                    .path("endpoints")
                    .size();
        } catch (ClientException e) {
            return -1;
        }
    }

    private void startStandIn(String name, List<String> arguments) throws FleetException {
        List<String> command = new ArrayList<>();
        command.add(repositoryRoot.resolve("bin/standin").toString());
        command.addAll(arguments);
        startProcess(name, command);
    }

    private void startProcess(String name, List<String> command) throws FleetException {
        processes.put(name, ManagedProcess.start(name, folder, command));
    }

    /**
     * Submits a record and waits until it is in force at all instances.
     *
     * @param operator client with an operator's key
     * @param key kind and name, separated by a slash
     * @param body content of the record
     * @return time from the acceptance until the record was in force, in milliseconds
     * @throws ClientException if the change is refused
     * @throws FleetException if the change is not in force in time
     */
    public long putRecord(SapphireClient operator, String key, JsonNode body)
            throws ClientException, FleetException {
        ObjectNode record =
                MAPPER.createObjectNode().put("schemaVersion", 1).put("minimumReader", 1);
        record.set("body", body);
        long revision = currentRevision(operator, key);
        ClientRequest request =
                ClientRequest.of("PUT", "/admin/v1/records/" + key)
                        .withHeader("Sapphire-Change-Id", UUID.randomUUID().toString())
                        .withBody(
                                "application/json",
                                record.toString().getBytes(StandardCharsets.UTF_8));
        request =
                revision == 0
                        ? request.withHeader("If-None-Match", "*")
                        : request.withHeader("If-Match", "\"" + revision + "\"");
        long acceptedRevision = operator.call(request).json().path("revision").asLong();
        long acceptedMs = clock.nowMs();
        awaitRevision(operator, acceptedRevision);
        return clock.nowMs() - acceptedMs;
    }

    private static long currentRevision(SapphireClient operator, String key)
            throws ClientException {
        try {
            return operator.call(ClientRequest.of("GET", "/admin/v1/records/" + key))
                    .json()
                    .path("revision")
                    .asLong();
        } catch (ClientException e) {
            if (e.problem().map(problem -> problem.status() == 404).orElse(false)) {
                return 0;
            }
            throw e;
        }
    }

    private void awaitRevision(SapphireClient operator, long revision)
            throws ClientException, FleetException {
        long deadlineMs = clock.nowMs() + 11_000;
        while (clock.nowMs() < deadlineMs) {
            ClientRequest request =
                    ClientRequest.of(
                            "GET", "/admin/v1/revision?waitFor=" + revision + "&timeoutMs=1000");
            if (operator.call(request).json().path("inForce").asBoolean()) {
                return;
            }
        }
        throw new FleetException(
                "wait-revision",
                "fleet",
                "revision " + revision + " is not in force after 11 s",
                null);
    }

    /** Returns the salted hash of a key, as records store it. */
    static String hashKey(String key) {
        return KeyHash.create(key, SALT);
    }

    /**
     * Creates a client whose seeds are all instances.
     *
     * @param key bearer key of a client account or an operator
     * @return client, to be closed by the caller
     */
    public SapphireClient client(String key) {
        return client(key, instanceNames);
    }

    /**
     * Creates a client whose seeds are some of the instances.
     *
     * @param key bearer key of a client account or an operator
     * @param names names of the instances
     * @return client, to be closed by the caller
     */
    public SapphireClient client(String key, List<String> names) {
        List<String> seeds = names.stream().map(addresses::get).toList();
        return new SapphireClient(
                new ClientOptions(seeds, key, 15_000, ClientOptions.DEFAULT_STREAM_READ_TIMEOUT_MS),
                clock);
    }

    /** Returns the names of the instances. */
    public List<String> instanceNames() {
        return List.copyOf(instanceNames);
    }

    /**
     * Returns the role of an instance in the control log: {@code leader}, {@code voter} or {@code
     * entry}.
     */
    String instanceRole(int index, String leaderPeerAddress) throws IOException {
        String name = instanceNames.get(index);
        String peer =
                MAPPER.readTree(Files.readString(settingsFile(name)))
                        .path("peer")
                        .path("listen")
                        .asText();
        if (peer.equals(leaderPeerAddress)) {
            return "leader";
        }
        return index < plan.voters() ? "voter" : "entry";
    }

    /** Returns the HTTP addresses of the instances, separated by commas. */
    public String addresses() {
        return String.join(",", instanceNames.stream().map(addresses::get).toList());
    }

    /** Returns the names of the engines. */
    public List<String> engineNames() {
        return addresses.keySet().stream().filter(name -> name.startsWith("e")).toList();
    }

    /** Returns the names of the plain services. */
    public List<String> serviceNames() {
        return addresses.keySet().stream().filter(name -> name.startsWith("s")).toList();
    }

    /**
     * Returns the HTTP address of an instance or endpoint.
     *
     * @param name name of the instance or endpoint
     * @return {@code host:port}
     */
    public String address(String name) {
        return addresses.get(name);
    }

    ManagedProcess process(String name) {
        return processes.get(name);
    }

    private boolean isReady(String name) {
        return HttpProbe.status(addresses.get(name), "/ready") == 200;
    }

    void awaitCondition(String step, String peer, long timeoutMs, BooleanSupplier condition)
            throws FleetException {
        long deadlineMs = clock.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (clock.nowMs() >= deadlineMs) {
                throw new FleetException(
                        step, peer, "condition not met within " + timeoutMs + " ms", null);
            }
            LockSupport.parkNanos(POLL_INTERVAL_MS * 1_000_000L);
        }
    }

    private static int[] freePorts(int count) throws FleetException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports[i] = socket.getLocalPort();
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new FleetException("choose-ports", "local", "no free ports", e);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ManagedProcess::kill);
        processes.values().forEach(process -> process.waitForExit(EXIT_WAIT_MS));
    }

    /**
     * Deletes the folder with settings, data and logs.
     *
     * @throws IOException if a file cannot be deleted
     */
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
