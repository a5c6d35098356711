package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import java.util.Comparator;
import java.util.List;

/** Steps that check generations without faults and with killed processes. Stateless. */
final class GenerationSteps {

    private static final int TOKENS = 600;
    private static final int TOKENS_BEFORE_FAULT = 200;
    private static final int STREAMS = 6;
    private static final long MAX_RESUME_MS = 5_000;

    private GenerationSteps() {}

    static StepResult undisturbed(DemoContext context) throws FleetException {
        List<CheckedGeneration> generations = context.startGenerations(STREAMS, TOKENS, 1);
        String failure = DemoContext.awaitFirstFailure(generations);
        return new StepResult(
                STREAMS + " generations of " + TOKENS + " tokens",
                "every token is as expected",
                failure.isEmpty(),
                failure.isEmpty()
                        ? "first token after at most "
                                + DemoContext.slowestFirstTokenMs(generations)
                                + " ms, longest gap "
                                + DemoContext.longestGapMs(generations)
                                + " ms"
                        : failure);
    }

    static StepResult engineKilled(DemoContext context) throws ClientException, FleetException {
        List<CheckedGeneration> generations =
                context.startGenerations(STREAMS, TOKENS, TOKENS_BEFORE_FAULT);
        String engine = busiestEngine(context.fleet());
        context.fleet().process(engine).kill();
        return resultAfterFault(context, "SIGKILL of engine " + engine, generations);
    }

    static StepResult ownerKilled(DemoContext context) throws ClientException, FleetException {
        List<CheckedGeneration> generations =
                context.startGenerations(STREAMS, TOKENS, TOKENS_BEFORE_FAULT);
        String owner = chooseOwnerToKill(generations);
        context.fleet().process(owner).kill();
        StepResult result =
                resultAfterFault(context, "SIGKILL of entry instance " + owner, generations);
        restart(context, owner);
        return result;
    }

    static StepResult engineAndOwnerKilled(DemoContext context)
            throws ClientException, FleetException {
        List<CheckedGeneration> generations =
                context.startGenerations(STREAMS, TOKENS, TOKENS_BEFORE_FAULT);
        String owner = chooseOwnerToKill(generations);
        String engine = busiestEngine(context.fleet());
        context.fleet().process(owner).kill();
        context.fleet().process(engine).kill();
        StepResult result =
                resultAfterFault(
                        context,
                        "SIGKILL of instance " + owner + " and engine " + engine,
                        generations);
        restart(context, owner);
        return result;
    }

    private static void restart(DemoContext context, String instance) throws FleetException {
        context.fleet().startInstance(instance);
        context.fleet()
                .awaitCondition(
                        "ready-again",
                        instance,
                        20_000,
                        () -> HttpProbe.status(context.fleet().address(instance), "/ready") == 200);
    }

    /**
     * Chooses the accepting instance with the highest number. Voters have the lowest numbers, so
     * the step kills a non-voter if possible and does not disturb the control log.
     */
    private static String chooseOwnerToKill(List<CheckedGeneration> generations) {
        return generations.stream()
                .map(CheckedGeneration::acceptingInstance)
                .max(Comparator.comparingInt(name -> Integer.parseInt(name.substring(1))))
                .orElseThrow();
    }

    private static String busiestEngine(Fleet fleet) {
        return fleet.engineNames().stream()
                .filter(name -> fleet.process(name).isAlive())
                .max(Comparator.comparingInt(name -> runningStreams(fleet.address(name))))
                .orElseThrow();
    }

    static int runningStreams(String address) {
        return HttpProbe.json(address, "/v1/state").path("running").asInt(-1);
    }

    private static StepResult resultAfterFault(
            DemoContext context, String action, List<CheckedGeneration> generations)
            throws ClientException {
        String failure = DemoContext.awaitFirstFailure(generations);
        long longestGapMs = failure.isEmpty() ? DemoContext.longestGapMs(generations) : -1;
        long recomputedTokens = 0;
        for (CheckedGeneration generation : generations) {
            JsonNode status =
                    context.caller()
                            .call(
                                    ClientRequest.of(
                                            "GET", "/v1/generations/" + generation.generationId()))
                            .json();
            recomputedTokens += status.path("recomputedTokens").asLong();
        }
        return new StepResult(
                action,
                "no token missing, duplicated or wrong; output resumes within "
                        + MAX_RESUME_MS
                        + " ms",
                failure.isEmpty() && longestGapMs <= MAX_RESUME_MS,
                failure.isEmpty()
                        ? "resume latency "
                                + longestGapMs
                                + " ms, "
                                + recomputedTokens
                                + " tokens recomputed"
                        : failure);
    }
}
