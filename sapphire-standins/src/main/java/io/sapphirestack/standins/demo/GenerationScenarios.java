package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.client.ClientException;
import io.sapphirestack.client.ClientRequest;
import java.util.Comparator;
import java.util.List;

/** Steps about generations. */
final class GenerationScenarios {

    private static final int TOKENS = 600;
    private static final int DEEP = 200;
    private static final int STREAMS = 6;
    private static final long RESUME_LIMIT_MS = 5_000;

    private GenerationScenarios() {}

    static DemoRow undisturbed(DemoWorld world) throws FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, 1);
        String fault = DemoWorld.awaitAll(generations);
        return new DemoRow(
                STREAMS + " generations of " + TOKENS + " tokens",
                "every token is the expected one",
                fault.isEmpty(),
                fault.isEmpty()
                        ? "first token after at most "
                                + DemoWorld.slowestFirstTokenMs(generations)
                                + " ms, longest gap "
                                + DemoWorld.longestGapMs(generations)
                                + " ms"
                        : fault);
    }

    static DemoRow engineKilled(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, DEEP);
        String engine = busiestEngine(world.fleet());
        world.fleet().process(engine).kill();
        return afterFault(world, "SIGKILL of engine " + engine, generations);
    }

    static DemoRow ownerKilled(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, DEEP);
        String owner = killableOwner(generations);
        world.fleet().process(owner).kill();
        DemoRow row = afterFault(world, "SIGKILL of entry instance " + owner, generations);
        restart(world, owner);
        return row;
    }

    static DemoRow engineAndOwnerKilled(DemoWorld world) throws ClientException, FleetException {
        List<CheckedGeneration> generations = world.startGenerations(STREAMS, TOKENS, DEEP);
        String owner = killableOwner(generations);
        String engine = busiestEngine(world.fleet());
        world.fleet().process(owner).kill();
        world.fleet().process(engine).kill();
        DemoRow row =
                afterFault(
                        world,
                        "SIGKILL of instance " + owner + " and engine " + engine,
                        generations);
        restart(world, owner);
        return row;
    }

    private static void restart(DemoWorld world, String instance) throws FleetException {
        world.fleet().startInstance(instance);
        world.fleet()
                .await(
                        "ready-again",
                        instance,
                        20_000,
                        () -> HttpProbe.status(world.fleet().address(instance), "/ready") == 200);
    }

    /**
     * Prefers an instance that is no voter, so that the step shows the loss of an entry instance
     * alone.
     */
    private static String killableOwner(List<CheckedGeneration> generations) {
        return generations.stream()
                .map(CheckedGeneration::acceptedBy)
                .max(Comparator.comparingInt(name -> Integer.parseInt(name.substring(1))))
                .orElseThrow();
    }

    private static String busiestEngine(Fleet fleet) {
        return fleet.engineNames().stream()
                .filter(name -> fleet.process(name).isAlive())
                .max(Comparator.comparingInt(name -> running(fleet.address(name))))
                .orElseThrow();
    }

    static int running(String address) {
        return HttpProbe.json(address, "/v1/state").path("running").asInt(-1);
    }

    private static DemoRow afterFault(
            DemoWorld world, String done, List<CheckedGeneration> generations)
            throws ClientException {
        String fault = DemoWorld.awaitAll(generations);
        long gapMs = fault.isEmpty() ? DemoWorld.longestGapMs(generations) : -1;
        long recomputed = 0;
        for (CheckedGeneration generation : generations) {
            JsonNode status =
                    world.caller()
                            .call(ClientRequest.of("GET", "/v1/generations/" + generation.id()))
                            .json();
            recomputed += status.path("recomputedTokens").asLong();
        }
        return new DemoRow(
                done,
                "no token missing, repeated or wrong; output goes on within "
                        + RESUME_LIMIT_MS
                        + " ms",
                fault.isEmpty() && gapMs <= RESUME_LIMIT_MS,
                fault.isEmpty()
                        ? "resume latency "
                                + gapMs
                                + " ms, "
                                + recomputed
                                + " tokens computed again"
                        : fault);
    }
}
