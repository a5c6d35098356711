package io.sapphirestack.core.generation;

import io.sapphirestack.core.generation.GenerationWorld.Node;
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
 * Guards against outputs with missing, repeated, changed or mixed tokens, and against generations
 * that never finish, under random sequences of faults.
 */
class GenerationStatefulTests {

    private static final int MAX_STEPS = 400;

    /** Guards against every fault that the world can make, several at once. */
    @Property(seed = "20260704", shrinking = ShrinkingMode.BOUNDED)
    void callersSeeOneOutputUnderFaults(@ForAll("faults") ActionChain<GenerationWorld> chain) {
        chain.run().heal();
    }

    /** Guards against faults of failover that need many successive owners to show. */
    @Property(seed = "20260705", shrinking = ShrinkingMode.BOUNDED)
    void callersSeeOneOutputUnderManyFailovers(
            @ForAll("failovers") ActionChain<GenerationWorld> chain) {
        chain.run().heal();
    }

    @Provide
    Arbitrary<ActionChain<GenerationWorld>> faults() {
        return common(ActionChain.startWith(() -> new GenerationWorld(4)))
                .withAction(2, step("crash", (world, n) -> world.crash(node(world, n))))
                .withAction(2, step("crash two", GenerationStatefulTests::crashTwo))
                .withAction(2, step("evict dead", (world, n) -> world.evictDead()))
                .withAction(2, step("evict live", GenerationStatefulTests::evictOne))
                .withAction(6, step("rejoin", (world, n) -> world.rejoin(node(world, n))))
                .withMaxTransformations(MAX_STEPS);
    }

    @Provide
    Arbitrary<ActionChain<GenerationWorld>> failovers() {
        return common(ActionChain.startWith(() -> new GenerationWorld(5)))
                .withAction(6, step("evict", GenerationStatefulTests::evict))
                .withAction(8, step("rejoin", (world, n) -> world.rejoin(node(world, n))))
                .withMaxTransformations(MAX_STEPS);
    }

    private static ActionChainArbitrary<GenerationWorld> common(
            ActionChainArbitrary<GenerationWorld> start) {
        return start.withAction(60, step("deliver", (world, n) -> world.deliver(n, false)))
                .withAction(60, step("work", (world, n) -> world.work(node(world, n), n / 7)))
                .withAction(6, step("blind", (world, n) -> world.blind(node(world, n), true)))
                .withAction(4, step("see", (world, n) -> world.blind(node(world, n), false)))
                .withAction(4, step("duplicate", (world, n) -> world.deliver(n, true)))
                .withAction(3, step("drop", GenerationWorld::drop))
                .withAction(25, step("send", (world, n) -> world.send(node(world, n))))
                .withAction(3, step("time out", (world, n) -> world.timeOut(node(world, n))))
                .withAction(30, step("token", (world, n) -> world.token(node(world, n), n / 7)))
                .withAction(
                        4,
                        step(
                                "attempt",
                                (world, n) -> world.startAttempt(node(world, n), engine(n), false)))
                .withAction(
                        2,
                        step(
                                "speculate",
                                (world, n) -> world.startAttempt(node(world, n), engine(n), true)))
                .withAction(4, step("reattach", (world, n) -> world.reattach(node(world, n))))
                .withAction(1, step("crash engine", (world, n) -> world.crashEngine(engine(n))))
                .withAction(10, step("learn", (world, n) -> world.learn(node(world, n), 1 + n % 3)))
                .withAction(
                        4,
                        step(
                                "add replica",
                                (world, n) -> world.addReplica(node(world, n), node(world, n / 7))))
                .withAction(1, step("drop idle", (world, n) -> world.dropIdle(node(world, n))))
                .withAction(
                        10,
                        step(
                                "read",
                                (world, n) ->
                                        world.read(
                                                node(world, n),
                                                n / 7 % GenerationWorld.MAX_TOKENS)));
    }

    private static void evictOne(GenerationWorld world, int n) {
        world.evict(List.of(node(world, n)));
    }

    private static void evict(GenerationWorld world, int n) {
        List<Node> batch = new ArrayList<>();
        for (int i = 0; i < world.nodes.size(); i++) {
            if ((n >> (2 * i)) % 4 == 1) {
                batch.add(world.nodes.get(i));
            }
        }
        world.evict(batch);
    }

    private static void crashTwo(GenerationWorld world, int n) {
        world.nodes.stream()
                .filter(node -> node.copy != null && node.copy.owner().isPresent())
                .findFirst()
                .ifPresent(
                        owner -> {
                            world.crash(owner);
                            world.crash(node(world, n));
                        });
    }

    private static Node node(GenerationWorld world, int n) {
        return world.nodes.get(n % world.nodes.size());
    }

    private static String engine(int n) {
        return n / 11 % 2 == 0 ? "e1" : "e2";
    }

    private static Action.Independent<GenerationWorld> step(
            String name, BiConsumer<GenerationWorld, Integer> change) {
        Arbitrary<Integer> choices =
                Arbitraries.integers()
                        .between(0, 1_000_000)
                        .withDistribution(RandomDistribution.uniform());
        return () ->
                choices.map(
                        n -> Transformer.mutate(name + " " + n, world -> change.accept(world, n)));
    }
}
