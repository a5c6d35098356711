package io.sapphirestack.standins.demo;

import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.standins.support.HttpAnswer;
import io.sapphirestack.standins.support.HttpConnection;
import io.sapphirestack.standins.support.JsonSupport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Processes of the demonstration: 10 instances over four availability zones, three of them voters,
 * 6 engines, 2 plain services and a weight store. Thread-safe after {@link #start}.
 */
final class DemoFleet {

    static final int INSTANCES = 10;
    static final int ENGINES = 6;
    static final int SERVICES = 2;
    static final String OPERATOR_KEY = "demo-operator-key";
    static final String ENGINE_KEY = "demo-engine-key";
    static final String SERVICE_KEY = "demo-service-key";
    static final String ACCOUNT_KEY = "demo-account-key";

    private static final int ZONES = 4;
    private static final int VOTERS = 3;
    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final byte[] SALT = {1, 2, 3, 4, 5, 6, 7, 8};

    private final Path root;
    private final Path folder;
    private final ProcessGroup processes;
    private final Map<String, String> http = new LinkedHashMap<>();
    private final Map<String, String> peers = new LinkedHashMap<>();

    DemoFleet(Path root, Path folder, ProcessGroup processes) {
        this.root = root;
        this.folder = folder;
        this.processes = processes;
    }

    static String hash(String key) {
        return KeyHash.create(key, SALT);
    }

    /** Starts all processes. */
    void start() throws IOException {
        allocateAddresses();
        for (int i = 1; i <= INSTANCES; i++) {
            String id = "i" + i;
            Path config = folder.resolve(id + ".json");
            Files.write(config, JsonSupport.bytes(settings(i)));
            processes.start(
                    id,
                    List.of(
                            root.resolve("bin/sapphired").toString(),
                            "--config",
                            config.toString()));
        }
        startStandIn("weights", "weights", List.of("--bytes-per-s", "50000000"));
        for (int i = 1; i <= ENGINES; i++) {
            List<String> arguments = new ArrayList<>(endpointArguments("e" + i, i, ENGINE_KEY));
            arguments.addAll(List.of("--service", "scribe", "--weights", address("weights")));
            startStandIn("e" + i, "engine", arguments);
        }
        for (int i = 1; i <= SERVICES; i++) {
            List<String> arguments = new ArrayList<>(endpointArguments("s" + i, i, SERVICE_KEY));
            arguments.addAll(List.of("--service", "ledger", "--look-up"));
            startStandIn("s" + i, "service", arguments);
        }
    }

    /** Returns the HTTP address of a process. */
    String address(String name) {
        return http.get(name);
    }

    /** Returns the HTTP addresses of all instances. */
    List<String> instanceAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= INSTANCES; i++) {
            addresses.add(address("i" + i));
        }
        return addresses;
    }

    ProcessGroup processes() {
        return processes;
    }

    /** Returns whether a process answers a path with 200. */
    boolean answers(String name, String path) throws IOException {
        return call(name, "GET", path, null).status() == 200;
    }

    /** Calls an endpoint directly, as only the demonstration does. */
    HttpAnswer call(String name, String method, String path, Object body) throws IOException {
        return HttpConnection.call(
                address(name),
                CALL_TIMEOUT_MS,
                method,
                path,
                Map.of(),
                body == null ? null : JsonSupport.bytes(body));
    }

    /** Returns how many streams an engine is computing, or -1 if it does not answer. */
    int running(String engine) {
        try {
            return call(engine, "GET", "/v1/state", null).json().path("running").asInt();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns how often an order ran, over all plain services. */
    int runs(String account, String key) throws IOException {
        int runs = 0;
        for (int i = 1; i <= SERVICES; i++) {
            runs += call("s" + i, "GET", "/runs", null).json().path(account + "/" + key).asInt();
        }
        return runs;
    }

    /** Returns the last lines of the log of a process, for a report of a failed start. */
    String logTail(String name) {
        try {
            List<String> lines =
                    Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.UTF_8);
            return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
        } catch (IOException e) {
            return "no log: " + e.getMessage();
        }
    }

    private void startStandIn(String name, String command, List<String> arguments)
            throws IOException {
        List<String> line = new ArrayList<>();
        line.add(root.resolve("bin/standin").toString());
        line.add(command);
        line.addAll(List.of("--listen", address(name)));
        line.addAll(arguments);
        processes.start(name, line);
    }

    private List<String> endpointArguments(String id, int number, String key) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            seeds.add(address("i" + (1 + (number + 3 * i) % INSTANCES)));
        }
        return List.of(
                "--id",
                id,
                "--zone",
                zone(number),
                "--entry",
                String.join(",", seeds),
                "--key",
                key);
    }

    private Map<String, Object> settings(int number) {
        String id = "i" + number;
        boolean voter = number <= VOTERS;
        List<String> voters = new ArrayList<>();
        for (int i = 1; i <= VOTERS; i++) {
            voters.add(peers.get("i" + i));
        }
        Map<String, Object> control = new LinkedHashMap<>();
        control.put("voters", voters);
        if (voter) {
            control.put("voter", true);
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put(
                "instance", Map.of("id", id, "availabilityZone", zone(number), "region", "r1"));
        settings.put("http", Map.of("listen", address(id)));
        settings.put("peer", Map.of("listen", peers.get(id), "clusterKey", "demo-cluster-key"));
        settings.put("control", control);
        if (voter) {
            settings.put("dataFolder", folder.resolve("data-" + id).toString());
        }
        settings.put("bootstrapOperatorKeyHash", hash(OPERATOR_KEY));
        return settings;
    }

    private static String zone(int number) {
        return "az" + (1 + (number - 1) % ZONES);
    }

    /** Chooses free ports; all are held until the last is chosen, so that they differ. */
    private void allocateAddresses() throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 1; i <= INSTANCES; i++) {
                http.put("i" + i, freeAddress(held));
                peers.put("i" + i, freeAddress(held));
            }
            http.put("weights", freeAddress(held));
            for (int i = 1; i <= ENGINES; i++) {
                http.put("e" + i, freeAddress(held));
            }
            for (int i = 1; i <= SERVICES; i++) {
                http.put("s" + i, freeAddress(held));
            }
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
    }

    private static String freeAddress(List<ServerSocket> held) throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        held.add(socket);
        return "127.0.0.1:" + socket.getLocalPort();
    }
}
