package io.sapphirestack.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import net.jqwik.api.statistics.Statistics;

/**
 * Runs the control log under random crashes, disk losses, pauses and network faults. Guards against
 * lost or reverted changes, two accepted changes of the same revision, two grants for one order,
 * stale reads, and a different result for a resent command. {@link ControlOracle} checks these
 * after every step.
 *
 * <p>The number of tries is fixed, because some faulty decisions were detected only after more than
 * 1,800 tries.
 */
class ReplicatedControlTests {

    @Property(
            seed = "20261204",
            tries = 2_000,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.BOUNDED)
    void faultsNeverBreakTheControlLog(@ForAll("chains") ActionChain<SimulatedCluster> chain) {
        SimulatedCluster cluster = chain.run();
        cluster.checkRecovery();

        Statistics.label("disk losses").collect(cluster.diskLosses());
        Statistics.label("read confirmed").collect(cluster.oracle().confirmedReads() > 0);
        Statistics.label("more than 5 results received")
                .collect(cluster.oracle().resultCount() > 5);
        assertThat(cluster.oracle().lastCommitted()).isPositive();
    }

    @Provide
    ActionChainArbitrary<SimulatedCluster> chains() {
        Arbitrary<Integer> voter = Arbitraries.integers().between(0, 2);
        return ActionChain.startWith(() -> started(42))
                .withAction(12, run(0))
                .withAction(4, run(20))
                .withAction(
                        6,
                        action(
                                "put",
                                Arbitraries.integers().between(0, 2),
                                (c, i) -> c.submitPut(i)))
                .withAction(
                        4,
                        action(
                                "reserve",
                                Arbitraries.integers().between(0, 1),
                                (c, i) -> c.submitReserve(i)))
                .withAction(
                        1,
                        action(
                                "join",
                                Arbitraries.integers().between(0, 1),
                                (c, i) -> c.submitJoin(i)))
                .withAction(2, action("release", voter, (c, i) -> c.releaseRandomReservation()))
                .withAction(4, action("resend", voter, (c, i) -> c.resendRandomCommand()))
                .withAction(4, action("read", voter, (c, i) -> c.readFromAllVoters()))
                .withAction(3, action("crash", voter, SimulatedCluster::crash))
                .withAction(4, action("restart", voter, SimulatedCluster::restart))
                .withAction(3, action("lose disk", voter, SimulatedCluster::loseDisk))
                .withAction(2, action("pause", voter, SimulatedCluster::pause))
                .withAction(3, action("resume", voter, (c, i) -> c.resume()))
                .withAction(3, block())
                .withAction(3, action("heal", voter, (c, i) -> c.unblockLinks()))
                .withAction(3, action("compact", voter, SimulatedCluster::compact))
                .withAction(1, action("transfer", voter, (c, i) -> c.transferLeadership()))
                .withMaxTransformations(80);
    }

    private static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.run(2_000, 0);
        return cluster;
    }

    /** Runs the cluster for 20 to 900 ms; the argument also seeds the network faults. */
    private static Action.Independent<SimulatedCluster> run(int dropPercent) {
        return action(
                "run with " + dropPercent + "% loss and seed",
                Arbitraries.integers().between(0, 1 << 30),
                (cluster, seed) -> cluster.run(20 + seed % 880, dropPercent, seed));
    }

    private static Action.Independent<SimulatedCluster> block() {
        return action(
                "block",
                Arbitraries.integers().between(0, 17),
                (cluster, i) -> cluster.block(i % 3, i / 3 % 3, i >= 9));
    }

    private static Action.Independent<SimulatedCluster> action(
            String label, Arbitrary<Integer> argument, Effect effect) {
        return new Action.Independent<>() {
            @Override
            public Arbitrary<Transformer<SimulatedCluster>> transformer() {
                return argument.map(
                        value ->
                                Transformer.mutate(
                                        label + " " + value,
                                        cluster -> effect.apply(cluster, value)));
            }
        };
    }

    /** Effect of an action with one argument. */
    @FunctionalInterface
    private interface Effect {
        void apply(SimulatedCluster cluster, int value);
    }
}
