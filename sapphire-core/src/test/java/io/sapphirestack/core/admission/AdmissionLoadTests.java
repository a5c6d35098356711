package io.sapphirestack.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.admission.SimulatedPlainFleet.Gate;
import io.sapphirestack.core.admission.SimulatedPlainFleet.Instance;
import io.sapphirestack.core.admission.SimulatedPlainFleet.Result;
import java.util.Locale;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays the plain requests of a fleet with late load reports. Guards against admission that serves
 * callers worse than sending each request at once, and against a kind of request that is starved.
 * {@link #main} prints the table of {@code docs/routing.md}.
 */
class AdmissionLoadTests {

    private static final long DAY_MS = 29_000;
    private static final long SEED = Long.getLong("sapphire.load.seed", 7);

    /** Load that the endpoints can serve, as a multiple of their capacity. */
    private static final double MODERATE = 0.45;

    private static Result play(
            int instances, long lagMs, double load, Function<Instance, Gate> gates) {
        return new SimulatedPlainFleet(instances, lagMs, SEED, gates).play(load, DAY_MS);
    }

    @ParameterizedTest
    @CsvSource({
        "10, 0, 0.9",
        "10, 200, 1.3",
        "65, 0, 1.3",
        "65, 200, 0.9",
        "65, 200, 1.3",
        "65, 1000, 0.9",
        "100, 200, 0.9",
        "300, 1000, 1.3",
    })
    void overloadedServiceIsWorthMoreThanWithoutAdmission(int instances, long lagMs, double load) {
        Result direct = play(instances, lagMs, load, SimulatedGates::direct);
        for (boolean knowsAge : new boolean[] {false, true}) {
            Result refusing =
                    play(instances, lagMs, load, i -> SimulatedGates.refusing(i, knowsAge));
            assertThat(refusing.value()).isGreaterThan(direct.value());
            assertThat(refusing.served()[1]).isGreaterThan(refusing.served()[0] / 4);
            assertThat(refusing.served()[2]).isGreaterThan(refusing.served()[0] / 4);
        }
    }

    @ParameterizedTest
    @CsvSource({"10, 0", "10, 200", "65, 0", "65, 200", "65, 1000", "100, 200", "300, 200"})
    void moderateLoadIsServedAsWithoutAdmission(int instances, long lagMs) {
        Result direct = play(instances, lagMs, MODERATE, SimulatedGates::direct);
        Result refusing = play(instances, lagMs, MODERATE, i -> SimulatedGates.refusing(i, true));
        assertThat(refusing.value()).isGreaterThan(direct.value() - 0.02);
    }

    private static String cell(Result r) {
        return String.format(
                Locale.ROOT,
                "%.3f / %.2f, %.2f / %.2f, %.2f / %.2f / %.2f / %d, %d",
                r.value(),
                r.inTarget()[1],
                r.inTarget()[2],
                r.served()[1],
                r.served()[2],
                r.refusals(),
                r.wrong(),
                r.p50Ms(),
                r.p99Ms());
    }

    private static void row(int n, long lagMs, double load) {
        System.out.printf(
                Locale.ROOT,
                "| %d, %d ms, %.2f | %s | %s | %s | %s | %s |%n",
                n,
                lagMs,
                load,
                cell(play(n, lagMs, load, SimulatedGates::direct)),
                cell(play(n, lagMs, load, i -> SimulatedGates.refusing(i, false))),
                cell(play(n, lagMs, load, i -> SimulatedGates.refusing(i, true))),
                cell(
                        play(
                                n,
                                lagMs,
                                load,
                                i -> SimulatedGates.queue(i, SimulatedGates.FIRST_IN_FIRST_OUT))),
                cell(
                        play(
                                n,
                                lagMs,
                                load,
                                i -> SimulatedGates.queue(i, SimulatedGates.STRICT_PRIORITY))));
    }

    /**
     * Prints the comparison for one load.
     *
     * @param args load as a multiple of the capacity
     */
    public static void main(String[] args) {
        double load = Double.parseDouble(args[0]);
        System.out.println(
                "omniscient " + load + " " + cell(play(1, 0, load, SimulatedGates::omniscient)));
        for (int n : new int[] {65, 10, 100, 300}) {
            for (long lagMs : new long[] {0, 200, 1_000}) {
                row(n, lagMs, load);
            }
        }
    }
}
