package io.sapphirestack.core.generation;

import io.sapphirestack.core.generation.GenerationSimulation.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Runs random sequences of faults. Guards against outputs with missing, duplicate, changed or mixed
 * tokens, and against generations that never finish.
 */
class GenerationStatefulTests {

    private static final int MAX_STEPS = 400;

    /** Combines all simulated faults: crashes, evictions, dropped messages and failed engines. */
    @Property(seed = "20260704", shrinking = ShrinkingMode.BOUNDED)
    void callersSeeOneOutputUnderFaults(@ForAll("faults") ActionChain<GenerationSimulation> chain) {
        chain.run().recoverAndCheck();
    }

    /** Guards against faults that only show after many successive owners. */
    @Property(seed = "20260705", shrinking = ShrinkingMode.BOUNDED)
    void callersSeeOneOutputUnderManyFailovers(
            @ForAll("failovers") ActionChain<GenerationSimulation> chain) {
        chain.run().recoverAndCheck();
    }

    @Provide
    Arbitrary<ActionChain<GenerationSimulation>> faults() {
        return withCommonActions(ActionChain.startWith(() -> new GenerationSimulation(4)))
                .withAction(2, step("crash", (sim, n) -> sim.crash(node(sim, n))))
                .withAction(2, step("crash two", GenerationStatefulTests::crashTwo))
                .withAction(2, step("evict stopped", (sim, n) -> sim.evictStopped()))
                .withAction(2, step("evict live", GenerationStatefulTests::evictOne))
                .withAction(6, step("rejoin", (sim, n) -> sim.rejoin(node(sim, n))))
                .withMaxTransformations(MAX_STEPS);
    }

    @Provide
    Arbitrary<ActionChain<GenerationSimulation>> failovers() {
        return withCommonActions(ActionChain.startWith(() -> new GenerationSimulation(5)))
                .withAction(6, step("evict", GenerationStatefulTests::evict))
                .withAction(8, step("rejoin", (sim, n) -> sim.rejoin(node(sim, n))))
                .withMaxTransformations(MAX_STEPS);
    }

    private static ActionChainArbitrary<GenerationSimulation> withCommonActions(
            ActionChainArbitrary<GenerationSimulation> start) {
        return start.withAction(60, step("deliver", (sim, n) -> sim.deliverMessage(n, false)))
                .withAction(60, step("work", (sim, n) -> sim.runWithoutFaults(node(sim, n), n / 7)))
                .withAction(6, step("blind", (sim, n) -> sim.setEventsPaused(node(sim, n), true)))
                .withAction(4, step("see", (sim, n) -> sim.setEventsPaused(node(sim, n), false)))
                .withAction(4, step("duplicate", (sim, n) -> sim.deliverMessage(n, true)))
                .withAction(3, step("drop", GenerationSimulation::dropMessage))
                .withAction(25, step("send", (sim, n) -> sim.sendAppends(node(sim, n))))
                .withAction(3, step("time out", (sim, n) -> sim.timeOutAppends(node(sim, n))))
                .withAction(30, step("token", (sim, n) -> sim.deliverToken(node(sim, n), n / 7)))
                .withAction(
                        4,
                        step(
                                "attempt",
                                (sim, n) -> sim.startAttempt(node(sim, n), engine(n), false)))
                .withAction(
                        2,
                        step(
                                "speculate",
                                (sim, n) -> sim.startAttempt(node(sim, n), engine(n), true)))
                .withAction(4, step("reattach", (sim, n) -> sim.reattach(node(sim, n))))
                .withAction(1, step("crash engine", (sim, n) -> sim.crashEngine(engine(n))))
                .withAction(10, step("learn", (sim, n) -> sim.applyEvents(node(sim, n), 1 + n % 3)))
                .withAction(
                        4,
                        step(
                                "add replica",
                                (sim, n) -> sim.addReplica(node(sim, n), node(sim, n / 7))))
                .withAction(1, step("drop idle", (sim, n) -> sim.dropIdleCopy(node(sim, n))))
                .withAction(
                        10,
                        step(
                                "read",
                                (sim, n) ->
                                        sim.readAndCheck(
                                                node(sim, n),
                                                n / 7 % GenerationSimulation.MAX_TOKENS)));
    }

    private static void evictOne(GenerationSimulation sim, int n) {
        sim.evict(List.of(node(sim, n)));
    }

    private static void evict(GenerationSimulation sim, int n) {
        List<Node> batch = new ArrayList<>();
        for (int i = 0; i < sim.nodes.size(); i++) {
            if ((n >> (2 * i)) % 4 == 1) {
                batch.add(sim.nodes.get(i));
            }
        }
        sim.evict(batch);
    }

    private static void crashTwo(GenerationSimulation sim, int n) {
        sim.nodes.stream()
                .filter(node -> node.copy != null && node.copy.owner().isPresent())
                .findFirst()
                .ifPresent(
                        owner -> {
                            sim.crash(owner);
                            sim.crash(node(sim, n));
                        });
    }

    private static Node node(GenerationSimulation sim, int n) {
        return sim.nodes.get(n % sim.nodes.size());
    }

    private static String engine(int n) {
        return n / 11 % 2 == 0 ? "e1" : "e2";
    }

    private static Action.Independent<GenerationSimulation> step(
            String name, BiConsumer<GenerationSimulation, Integer> change) {
        Arbitrary<Integer> choices =
                Arbitraries.integers()
                        .between(0, 1_000_000)
                        .withDistribution(RandomDistribution.uniform());
        return () ->
                choices.map(n -> Transformer.mutate(name + " " + n, sim -> change.accept(sim, n)));
    }
}
