package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.error.ExecutionState;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Guards the at-most-once rules: sequences of orders, resends, crashes and pauses over simulated
 * instances, compared with the runs that the endpoints counted.
 */
class OrderSequenceTests {

    // The service logs an error for each crash of a thread that a sequence causes.
    private static final Logger LOGGER = Logger.getLogger("io.sapphirestack.runtime.order");

    @BeforeContainer
    static void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** One action of a sequence. */
    record Action(Kind kind, int instance, int key, int amount) {

        void perform(OrderWorld world) {
            switch (kind) {
                case SUBMIT -> world.submit(instance, key, "b", 500 + 50 * amount);
                case SUBMIT_OTHER_BODY -> world.submit(instance, key, "other", 2_000);
                case OUTCOME -> world.outcome(instance, key);
                case CRASH -> world.crash(instance);
                case PAUSE -> world.pause(instance);
                case RESUME -> world.resume(instance);
                case LONG_TIME -> world.turns.advance(500L * amount);
                default -> {
                    for (int i = 0; i < amount; i++) {
                        world.turns.step();
                    }
                }
            }
        }
    }

    /** Kinds of actions. */
    enum Kind {
        SUBMIT,
        SUBMIT_OTHER_BODY,
        OUTCOME,
        CRASH,
        PAUSE,
        RESUME,
        LONG_TIME,
        STEPS
    }

    @Provide
    Arbitrary<List<Action>> sequences() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequency(
                        net.jqwik.api.Tuple.of(6, Kind.SUBMIT),
                        net.jqwik.api.Tuple.of(1, Kind.SUBMIT_OTHER_BODY),
                        net.jqwik.api.Tuple.of(2, Kind.OUTCOME),
                        net.jqwik.api.Tuple.of(1, Kind.CRASH),
                        net.jqwik.api.Tuple.of(1, Kind.PAUSE),
                        net.jqwik.api.Tuple.of(1, Kind.RESUME),
                        net.jqwik.api.Tuple.of(1, Kind.LONG_TIME),
                        net.jqwik.api.Tuple.of(8, Kind.STEPS));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(1, 30))
                .as(Action::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void ordersRunAtMostOnce(
            @ForAll("sequences") List<Action> sequence,
            @ForAll Set<OrderFault> faults,
            @ForAll boolean lookUp,
            @ForAll long seed) {
        OrderWorld world = new OrderWorld(seed, faults, 15, lookUp);
        sequence.forEach(action -> action.perform(world));
        assertThat(world.finishAndCheck()).isEmpty();
    }

    @Property(tries = 12, seed = "1", shrinking = ShrinkingMode.OFF)
    void crashAtEveryStepThenResendElsewhere(
            @ForAll OrderFault fault, @ForAll boolean lookUp, @ForAll long seed) {
        for (int steps = 0; steps < 25; steps++) {
            OrderWorld world = new OrderWorld(seed, EnumSet.of(fault), 30, lookUp);
            world.submit(0, 1, "b", 3_000);
            step(world, steps);
            world.crash(0);
            world.submit(1, 1, "b", 3_000);
            step(world, 5);
            world.submit(0, 1, "b", 3_000);
            assertThat(world.finishAndCheck()).as("crash after %s steps", steps).isEmpty();
        }
    }

    @Property(tries = 12, seed = "2", shrinking = ShrinkingMode.OFF)
    void pauseAtEveryStepAndResendElsewhere(
            @ForAll OrderFault fault, @ForAll boolean lookUp, @ForAll long seed) {
        for (int steps = 0; steps < 25; steps++) {
            OrderWorld world = new OrderWorld(seed, EnumSet.of(fault), 30, lookUp);
            OrderWorld.Submission first = world.submit(0, 1, "b", 3_000);
            step(world, steps);
            world.pause(0);
            OrderWorld.Submission second = world.submit(1, 1, "b", 3_000);
            step(world, 300);
            world.resume(0);
            assertThat(world.finishAndCheck()).as("pause after %s steps", steps).isEmpty();
            assertThat(first.ran).isNotNull();
            assertThat(second.ran).isNotNull();
        }
    }

    @Property(tries = 1, seed = "3", shrinking = ShrinkingMode.OFF)
    void shareOfUnknownOutcomesByFault() {
        StringBuilder table =
                new StringBuilder("Orders of 100 without a known outcome, by fault\n");
        for (OrderFault fault : OrderFault.values()) {
            table.append(String.format("  %-15s", fault));
            for (boolean lookUp : new boolean[] {false, true}) {
                long unknown = 0;
                long answered = 0;
                for (long seed = 0; seed < 100; seed++) {
                    OrderWorld world = new OrderWorld(seed, EnumSet.of(fault), 30, lookUp);
                    OrderWorld.Submission first = world.submit(0, 1, "b", 2_000);
                    world.turns.finish();
                    OrderWorld.Submission again = world.submit(1, 1, "b", 2_000);
                    assertThat(world.finishAndCheck()).isEmpty();
                    unknown += world.unknownOrders();
                    answered +=
                            first.ran == ExecutionState.YES || again.ran == ExecutionState.YES
                                    ? 1
                                    : 0;
                }
                table.append(
                        String.format(
                                "  look-up %-5s unknown %3d answered %3d",
                                lookUp, unknown, answered));
            }
            table.append('\n');
        }
        System.out.println(table);
    }

    private static void step(OrderWorld world, int steps) {
        for (int i = 0; i < steps; i++) {
            world.turns.step();
        }
    }
}
