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
 * Property tests of the at-most-once guarantee. Random sequences of orders, resends, crashes and
 * pauses run on simulated instances with injected faults. The results reported to callers are
 * compared with the executions that the simulated endpoints recorded.
 */
class OrderSequenceTests {

    // The order service logs an error for each thread that a simulated crash ends.
    private static final Logger LOGGER = Logger.getLogger("io.sapphirestack.runtime.order");

    @BeforeContainer
    static void disableLogging() {
        LOGGER.setLevel(Level.OFF);
    }

    /** One action of a sequence. The meaning of the amount depends on the kind. */
    record Action(Kind kind, int instance, int key, int amount) {

        void perform(OrderSimulation simulation) {
            switch (kind) {
                case SUBMIT -> simulation.submit(instance, key, "b", 500 + 50 * amount);
                case SUBMIT_OTHER_BODY -> simulation.submit(instance, key, "other", 2_000);
                case OUTCOME -> simulation.outcome(instance, key);
                case CRASH -> simulation.crash(instance);
                case PAUSE -> simulation.pause(instance);
                case RESUME -> simulation.resume(instance);
                case ADVANCE_CLOCK -> simulation.scheduler.advance(500L * amount);
                default -> {
                    for (int i = 0; i < amount; i++) {
                        simulation.scheduler.step();
                    }
                }
            }
        }
    }

    /** Kinds of actions in a sequence. */
    enum Kind {
        SUBMIT,
        SUBMIT_OTHER_BODY,
        OUTCOME,
        CRASH,
        PAUSE,
        RESUME,
        ADVANCE_CLOCK,
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
                        net.jqwik.api.Tuple.of(1, Kind.ADVANCE_CLOCK),
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
    void ordersAreExecutedAtMostOnce(
            @ForAll("sequences") List<Action> sequence,
            @ForAll Set<OrderFault> faults,
            @ForAll boolean lookUpSupported,
            @ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(seed, faults, 15, lookUpSupported);
        sequence.forEach(action -> action.perform(simulation));
        assertThat(simulation.finishAndCheck()).isEmpty();
    }

    @Property(tries = 12, seed = "1", shrinking = ShrinkingMode.OFF)
    void orderResentElsewhereAfterACrashIsExecutedAtMostOnce(
            @ForAll OrderFault fault, @ForAll boolean lookUpSupported, @ForAll long seed) {
        for (int steps = 0; steps < 25; steps++) {
            OrderSimulation simulation =
                    new OrderSimulation(seed, EnumSet.of(fault), 30, lookUpSupported);
            simulation.submit(0, 1, "b", 3_000);
            step(simulation, steps);
            simulation.crash(0);
            simulation.submit(1, 1, "b", 3_000);
            step(simulation, 5);
            simulation.submit(0, 1, "b", 3_000);
            assertThat(simulation.finishAndCheck()).as("crash after %s steps", steps).isEmpty();
        }
    }

    @Property(tries = 12, seed = "2", shrinking = ShrinkingMode.OFF)
    void orderResentElsewhereDuringAPauseIsExecutedAtMostOnce(
            @ForAll OrderFault fault, @ForAll boolean lookUpSupported, @ForAll long seed) {
        for (int steps = 0; steps < 25; steps++) {
            OrderSimulation simulation =
                    new OrderSimulation(seed, EnumSet.of(fault), 30, lookUpSupported);
            OrderSimulation.Submission first = simulation.submit(0, 1, "b", 3_000);
            step(simulation, steps);
            simulation.pause(0);
            OrderSimulation.Submission second = simulation.submit(1, 1, "b", 3_000);
            step(simulation, 300);
            simulation.resume(0);
            assertThat(simulation.finishAndCheck()).as("pause after %s steps", steps).isEmpty();
            assertThat(first.executed).isNotNull();
            assertThat(second.executed).isNotNull();
        }
    }

    @Property(tries = 1, seed = "3", shrinking = ShrinkingMode.OFF)
    void printsTheShareOfUnknownOutcomesByFault() {
        StringBuilder table =
                new StringBuilder(
                        "Orders without a known outcome and orders with a response, of 100, by fault\n");
        for (OrderFault fault : OrderFault.values()) {
            table.append(String.format("  %-15s", fault));
            for (boolean lookUpSupported : new boolean[] {false, true}) {
                long unknownCount = 0;
                long respondedCount = 0;
                for (long seed = 0; seed < 100; seed++) {
                    OrderSimulation simulation =
                            new OrderSimulation(seed, EnumSet.of(fault), 30, lookUpSupported);
                    OrderSimulation.Submission first = simulation.submit(0, 1, "b", 2_000);
                    simulation.scheduler.runToCompletion();
                    OrderSimulation.Submission resent = simulation.submit(1, 1, "b", 2_000);
                    assertThat(simulation.finishAndCheck()).isEmpty();
                    unknownCount += simulation.unknownOrderCount();
                    respondedCount +=
                            first.executed == ExecutionState.YES
                                            || resent.executed == ExecutionState.YES
                                    ? 1
                                    : 0;
                }
                table.append(
                        String.format(
                                "  outcome query %-5s unknown %3d responses %3d",
                                lookUpSupported, unknownCount, respondedCount));
            }
            table.append('\n');
        }
        System.out.println(table);
    }

    private static void step(OrderSimulation simulation, int steps) {
        for (int i = 0; i < steps; i++) {
            simulation.scheduler.step();
        }
    }
}
