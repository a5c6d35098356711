package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import java.util.List;

/** Steps of operators: changes of records and planned stops. */
final class OperatorScenarios {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long IN_FORCE_LIMIT_MS = 11_000;
    private static final long STOP_TIMEOUT_MS = 30_000;
    private static final int STREAMS = 6;
    private static final int TOKENS = 600;
    private static final int DEEP = 100;

    private OperatorScenarios() {}

    static DemoRow recordChanged(DemoWorld world) throws ClientException, FleetException {
        ObjectNode account = DemoRecords.account();
        account.put("priority", 7);
        long inForceMs =
                world.fleet()
                        .putRecord(world.operator(), "account/" + DemoRecords.ACCOUNT, account);
        return new DemoRow(
                "priority of the client account changed",
                "in force at every instance within " + IN_FORCE_LIMIT_MS + " ms",
                inForceMs <= IN_FORCE_LIMIT_MS,
                "in force after " + inForceMs + " ms");
    }

    static DemoRow endpointStopped(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, DEEP);
        String engine =
                world.fleet().engineNames().stream()
                        .filter(name -> world.fleet().process(name).isAlive())
                        .max(
                                java.util.Comparator.comparingInt(
                                        name ->
                                                GenerationScenarios.running(
                                                        world.fleet().address(name))))
                        .orElseThrow();
        plan(world, "endpoint:" + engine);
        world.fleet()
                .await(
                        "stopped",
                        engine,
                        STOP_TIMEOUT_MS,
                        () -> isStopped(world, "endpoint:" + engine));
        String fault = DemoWorld.awaitAll(generations);
        int continuations = continuations(generations);
        List<CheckedGeneration> later = world.startGenerations(STREAMS, 50, 1);
        int running = GenerationScenarios.running(world.fleet().address(engine));
        String laterFault = DemoWorld.awaitAll(later);
        return new DemoRow(
                "planned stop of engine " + engine + " under load",
                "no stream is cut, and the engine gets no new work",
                fault.isEmpty() && laterFault.isEmpty() && running == 0 && continuations == 0,
                fault
                        + laterFault
                        + "streams cut "
                        + continuations
                        + ", new streams on the engine "
                        + running);
    }

    static DemoRow instanceStopped(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, DEEP);
        String instance = generations.get(0).acceptedBy();
        plan(world, "instance:" + instance);
        String fault = DemoWorld.awaitAll(generations);
        int continuations = continuations(generations);
        boolean exited = world.fleet().process(instance).waitForExit(STOP_TIMEOUT_MS);
        int status = exited ? world.fleet().process(instance).exitStatus() : -1;
        return new DemoRow(
                "planned stop of instance " + instance + " under load",
                "no stream is cut, and the process ends with status 0",
                fault.isEmpty() && continuations == 0 && status == 0,
                fault + "streams cut " + continuations + ", exit status " + status);
    }

    private static int continuations(List<CheckedGeneration> generations) {
        return generations.stream()
                .mapToInt(g -> g.result() == null ? 1 : g.result().continuations())
                .sum();
    }

    private static void plan(DemoWorld world, String name) throws ClientException, FleetException {
        world.fleet().putRecord(world.operator(), "stop/" + name, MAPPER.createObjectNode());
    }

    private static boolean isStopped(DemoWorld world, String name) {
        try {
            JsonNode fleet =
                    world.operator().call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
            for (JsonNode stop : fleet.path("stops")) {
                if (stop.path("name").asText().equals(name)) {
                    return stop.path("state").asText().equals("stopped");
                }
            }
            return false;
        } catch (ClientException e) {
            return false;
        }
    }
}
