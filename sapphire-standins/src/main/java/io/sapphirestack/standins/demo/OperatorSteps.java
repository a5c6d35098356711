package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import java.util.List;

/** Steps that check changes by operators: record changes and planned stops. Stateless. */
final class OperatorSteps {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAX_IN_FORCE_MS = 11_000;
    private static final long STOP_TIMEOUT_MS = 30_000;
    private static final int STREAMS = 6;
    private static final int TOKENS = 600;
    private static final int TOKENS_BEFORE_STOP = 100;

    private OperatorSteps() {}

    static StepResult recordChanged(DemoContext context) throws ClientException, FleetException {
        ObjectNode account = DemoRecords.account();
        account.put("priority", 7);
        long inForceMs =
                context.fleet()
                        .putRecord(context.operator(), "account/" + DemoRecords.ACCOUNT, account);
        return new StepResult(
                "priority of the client account changed",
                "in force at every instance within " + MAX_IN_FORCE_MS + " ms",
                inForceMs <= MAX_IN_FORCE_MS,
                "in force after " + inForceMs + " ms");
    }

    static StepResult endpointStopped(DemoContext context) throws ClientException, FleetException {
        List<CheckedGeneration> generations =
                context.startGenerations(STREAMS, TOKENS, TOKENS_BEFORE_STOP);
        String engine =
                context.fleet().engineNames().stream()
                        .filter(name -> context.fleet().process(name).isAlive())
                        .max(
                                java.util.Comparator.comparingInt(
                                        name ->
                                                GenerationSteps.runningStreams(
                                                        context.fleet().address(name))))
                        .orElseThrow();
        submitStop(context, "endpoint:" + engine);
        context.fleet()
                .awaitCondition(
                        "stopped",
                        engine,
                        STOP_TIMEOUT_MS,
                        () -> isStopped(context, "endpoint:" + engine));
        String failure = DemoContext.awaitFirstFailure(generations);
        int continuations = totalContinuations(generations);
        List<CheckedGeneration> later = context.startGenerations(STREAMS, 50, 1);
        int streamsOnEngine = GenerationSteps.runningStreams(context.fleet().address(engine));
        String laterFailure = DemoContext.awaitFirstFailure(later);
        return new StepResult(
                "planned stop of engine " + engine + " under load",
                "no stream is interrupted, and the engine gets no new streams",
                failure.isEmpty()
                        && laterFailure.isEmpty()
                        && streamsOnEngine == 0
                        && continuations == 0,
                failure
                        + laterFailure
                        + "interruptions "
                        + continuations
                        + ", new streams on the engine "
                        + streamsOnEngine);
    }

    static StepResult instanceStopped(DemoContext context) throws ClientException, FleetException {
        List<CheckedGeneration> generations =
                context.startGenerations(STREAMS, TOKENS, TOKENS_BEFORE_STOP);
        String instance = generations.get(0).acceptingInstance();
        submitStop(context, "instance:" + instance);
        String failure = DemoContext.awaitFirstFailure(generations);
        int continuations = totalContinuations(generations);
        boolean exited = context.fleet().process(instance).waitForExit(STOP_TIMEOUT_MS);
        int exitStatus = exited ? context.fleet().process(instance).exitStatus() : -1;
        return new StepResult(
                "planned stop of instance " + instance + " under load",
                "no stream is interrupted, and the process exits with status 0",
                failure.isEmpty() && continuations == 0 && exitStatus == 0,
                failure + "interruptions " + continuations + ", exit status " + exitStatus);
    }

    private static int totalContinuations(List<CheckedGeneration> generations) {
        return generations.stream()
                .mapToInt(g -> g.result() == null ? 1 : g.result().continuations())
                .sum();
    }

    private static void submitStop(DemoContext context, String name)
            throws ClientException, FleetException {
        context.fleet().putRecord(context.operator(), "stop/" + name, MAPPER.createObjectNode());
    }

    private static boolean isStopped(DemoContext context, String name) {
        try {
            JsonNode fleet =
                    context.operator().call(ClientRequest.of("GET", "/admin/v1/fleet")).json();
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
