package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.RetryUsage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays streams over engines whose availability zones crash in turn, with one budget for each
 * instance and usage that arrives late. Guards against streams that are aborted although the budget
 * of the fleet would allow their retry, and against retries that exceed this budget.
 */
class FleetRetryBudgetLoadTests {

    private static final double RATIO = 0.8;
    private static final double RESERVE = 150;
    private static final int WINDOW_MS = 10_000;
    private static final int TICK_MS = 100;
    private static final int WARM_UP_MS = 15_000;
    private static final int LOAD_MS = 40_000;
    private static final int STREAM_MS = 6_000;
    private static final int CRASH_INTERVAL_MS = 3_100;
    private static final int ZONES = 4;

    /** Part of the budget that the settings of an instance pass on; the rest is a margin. */
    private static final double SETTINGS_FRACTION = 0.85;

    private record Stream(int instance, int zone, long endsAtMs) {}

    /** A fleet under load; all times in milliseconds. */
    private static final class Fleet {
        private final SplittableRandom random;
        private final AtomicLong nowMs = new AtomicLong();
        private final int instances;
        private final int lagTicks;
        private final List<FleetRetryBudget> budgets = new ArrayList<>();
        private final Deque<List<RetryUsage>> history = new ArrayDeque<>();
        private final List<Long> requestsAtMs = new ArrayList<>();
        private final List<Long> retriesAtMs = new ArrayList<>();
        private List<Stream> streams = new ArrayList<>();
        private int wanted;

        Fleet(long seed, int instances, int lagMs) {
            this.random = new SplittableRandom(seed);
            this.instances = instances;
            this.lagTicks = lagMs / TICK_MS;
            for (int i = 0; i < instances; i++) {
                budgets.add(newBudget(i));
            }
        }

        /** Restarts some instances, which lose their streams and forget their retries. */
        void restart(double share) {
            for (int i = 0; i < instances; i++) {
                if (random.nextDouble() < share) {
                    int self = i;
                    streams.removeIf(stream -> stream.instance() == self);
                    budgets.set(self, newBudget(self));
                }
            }
        }

        private FleetRetryBudget newBudget(int self) {
            return new FleetRetryBudget(
                    new FleetRetryBudget.Settings(
                            RATIO * SETTINGS_FRACTION, RESERVE * SETTINGS_FRACTION, WINDOW_MS),
                    () -> instances,
                    service -> usageOfOthers(self),
                    nowMs::get);
        }

        private Optional<RetryUsage> usageOfOthers(int self) {
            if (history.isEmpty()) {
                return Optional.empty();
            }
            List<RetryUsage> known = history.peekFirst();
            int requests = 0;
            int retries = 0;
            for (int i = 0; i < instances; i++) {
                if (i != self) {
                    requests += known.get(i).requests();
                    retries += known.get(i).retries();
                }
            }
            return Optional.of(new RetryUsage(instances - 1, requests, retries));
        }

        void tick(double streamsPerS) {
            nowMs.addAndGet(TICK_MS);
            history.addLast(
                    budgets.stream()
                            .map(b -> b.localUsage().getOrDefault("s", new RetryUsage(1, 0, 0)))
                            .toList());
            if (history.size() > lagTicks + 1) {
                history.removeFirst();
            }
            streams.removeIf(stream -> stream.endsAtMs() <= nowMs.get());
            double expected = streamsPerS * TICK_MS / 1_000;
            int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                int instance = random.nextInt(instances);
                budgets.get(instance).recordRequest("s");
                requestsAtMs.add(nowMs.get());
                begin(instance, random.nextInt(ZONES));
            }
        }

        private void begin(int instance, int zone) {
            streams.add(new Stream(instance, zone, nowMs.get() + STREAM_MS));
        }

        void crash(int zone, double share) {
            List<Stream> before = streams;
            streams = new ArrayList<>();
            for (Stream stream : before) {
                if (stream.zone() != zone || random.nextDouble() > share) {
                    streams.add(stream);
                } else {
                    retry(stream, zone);
                }
            }
        }

        private void retry(Stream stream, int crashedZone) {
            wanted++;
            if (budgets.get(stream.instance()).tryRetry("s")) {
                retriesAtMs.add(nowMs.get());
                int zone = (crashedZone + 1 + random.nextInt(ZONES - 1)) % ZONES;
                streams.add(new Stream(stream.instance(), zone, stream.endsAtMs()));
            }
        }

        /** Returns the largest ratio of retries to the budget over all windows. */
        double largestUse() {
            double largest = 0;
            for (long startMs = 0; startMs <= WARM_UP_MS + LOAD_MS; startMs += TICK_MS) {
                double budget = RATIO * count(requestsAtMs, startMs) + RESERVE;
                largest = Math.max(largest, count(retriesAtMs, startMs) / budget);
            }
            return largest;
        }

        private static long count(List<Long> timesMs, long startMs) {
            return timesMs.stream().filter(t -> t >= startMs && t < startMs + WINDOW_MS).count();
        }
    }

    private static Fleet play(
            long seed,
            int instances,
            int lagMs,
            double streamsPerS,
            long restartAtMs,
            double restartShare) {
        Fleet fleet = new Fleet(seed, instances, lagMs);
        for (int t = 0; t < WARM_UP_MS; t += TICK_MS) {
            fleet.tick(0);
        }
        int crashes = 0;
        for (int t = 0; t < LOAD_MS; t += TICK_MS) {
            fleet.tick(streamsPerS);
            if (t == restartAtMs) {
                fleet.restart(restartShare);
            }
            if (t % CRASH_INTERVAL_MS == CRASH_INTERVAL_MS - TICK_MS) {
                fleet.crash(crashes % ZONES, crashes % 2 == 0 ? 0.95 : 0.57);
                crashes++;
            }
        }
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({
        "1, 10, 300, 7",
        "2, 24, 400, 9",
        "3, 79, 800, 42",
        "4, 100, 800, 18",
        "5, 79, 800, 63",
        "6, 300, 1200, 100"
    })
    void crashesOfAvailabilityZonesLeaveStreamsTheirRetries(
            long seed, int instances, int lagMs, double streamsPerS) {
        Fleet fleet = play(seed, instances, lagMs, streamsPerS, -1, 0);
        assertThat(fleet.largestUse()).isLessThanOrEqualTo(1);
        assertThat((double) fleet.retriesAtMs.size() / fleet.wanted).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @CsvSource({
        "1, 10, 300, 7, 1",
        "2, 24, 400, 9, 0.55",
        "3, 79, 800, 42, 0.55",
        "3, 79, 800, 42, 1",
        "4, 100, 800, 18, 0.55",
        "5, 79, 800, 63, 0.55"
    })
    void restartOfInstancesDoesNotUseTheBudgetTwice(
            long seed, int instances, int lagMs, double streamsPerS, double restartShare) {
        for (long restartAtMs = 12_000; restartAtMs < 16_000; restartAtMs += 500) {
            Fleet fleet = play(seed, instances, lagMs, streamsPerS, restartAtMs, restartShare);
            assertThat(fleet.largestUse()).isLessThanOrEqualTo(1);
        }
    }
}
