package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Compares routing strategies on simulated engines with fixed seeds: ten instances decide
 * independently, load reports arrive late, and cache events arrive late or not at all. Takes about
 * five minutes:
 *
 * <pre>
 * mvn -B -ntp -q test-compile dependency:build-classpath -pl sapphire-core \
 *     -Dmdep.outputFile=/tmp/core.cp -Dmdep.includeScope=test
 * java -cp sapphire-core/target/test-classes:sapphire-core/target/classes:$(cat /tmp/core.cp) \
 *     io.sapphirestack.core.routing.RoutingComparison
 * </pre>
 */
final class RoutingComparison {
    private static final int INSTANCES = 10;
    private static final int SLOTS = 8;
    private static final int CACHE_BLOCKS = 400;
    private static final double PREFILL_MS_PER_BLOCK = 25;
    private static final long DISSEMINATION_LAG_MS = 600;
    private static final long DURATION_MS = 600_000;
    private static final long WARM_UP_MS = 60_000;
    private static final ModelPin PIN = new ModelPin("base", "", "1");

    private final Random random;
    private final Random droppedEvents;
    private final long lagMs;
    private final double arrivalsPerS;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));
    private long nextEventNumber;
    private double nowMs;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Engine> plainEndpoints = new ArrayList<>();
    private final PrefixIndex[] indexes = new PrefixIndex[INSTANCES];
    private final RoutingStrategy[] strategies = new RoutingStrategy[INSTANCES];
    private final InFlightTracker[] trackers = new InFlightTracker[INSTANCES];
    private final InFlightTable[] others = new InFlightTable[INSTANCES];
    private EndpointTable table = EndpointTable.EMPTY;

    private final List<Double> firstTokenMs = new ArrayList<>();
    private final List<Double> readMs = new ArrayList<>();
    private long blocksRequested;
    private long blocksHit;
    private double imbalanceSum;
    private int samples;

    private record Event(double atMs, long number, Runnable action) {}

    private record Job(
            PrefixHashes prefix, double durationMs, double arrivedMs, DispatchPermit permit) {}

    RoutingComparison(String strategy, int engineCount, long lagMs, double utilization, long seed) {
        this.random = new Random(seed);
        this.droppedEvents = new Random(seed + 2);
        this.lagMs = lagMs;
        this.arrivalsPerS = utilization * engineCount * SLOTS / (MEAN_DURATION_MS / 1_000);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine("e" + i, "az" + i % 4, "scribe"));
        }
        for (int i = 0; i < 4; i++) {
            plainEndpoints.add(new Engine("p" + i, "az" + i, "ledger"));
        }
        Random choices = new Random(seed + 1);
        for (int i = 0; i < INSTANCES; i++) {
            indexes[i] = new PrefixIndex();
            others[i] = InFlightTable.UNKNOWN;
            trackers[i] = new InFlightTracker(() -> (long) nowMs);
            strategies[i] = create(strategy, i, new Random(choices.nextLong()));
        }
    }

    private RoutingStrategy create(String name, int instance, Random choices) {
        return switch (name) {
            case "random" -> BaselineStrategies.random(() -> table, choices);
            case "round robin" -> BaselineStrategies.roundRobin(() -> table, choices.nextInt(99));
            case "least load" -> BaselineStrategies.leastReportedLoad(() -> table);
            default ->
                    new ExpectedCostRoutingStrategy(
                            () -> table,
                            indexes[instance],
                            new LoadEstimator(
                                    trackers[instance],
                                    () ->
                                            name.equals("default")
                                                    ? others[instance]
                                                    : InFlightTable.UNKNOWN,
                                    () -> INSTANCES,
                                    () -> (long) nowMs),
                            id -> false,
                            "az" + instance % 4,
                            RoutingParameters.DEFAULT,
                            choices::nextInt,
                            () -> (long) nowMs);
        };
    }

    private void at(double timeMs, Runnable action) {
        events.add(new Event(timeMs, nextEventNumber++, action));
    }

    /**
     * Simulated engine with a fixed number of slots, one prefill at a time, and a prefix cache that
     * evicts the least recently used blocks.
     */
    private final class Engine {
        private final EndpointId id;
        private final String zone;
        private final String service;
        private final Deque<Job> queue = new ArrayDeque<>();
        private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
        private final Deque<EndpointLoad> reports = new ArrayDeque<>();
        private int running;
        private double prefillFreeMs;

        Engine(String id, String zone, String service) {
            this.id = EndpointId.of(id);
            this.zone = zone;
            this.service = service;
        }

        void submit(Job job) {
            queue.add(job);
            startNext();
        }

        private void startNext() {
            while (running < SLOTS && !queue.isEmpty()) {
                Job job = queue.poll();
                running++;
                int cached = lookUp(job.prefix());
                double prefillMs = (job.prefix().size() - cached + 1) * PREFILL_MS_PER_BLOCK;
                boolean read = job.prefix().size() == 0;
                double firstMs = read ? nowMs : Math.max(nowMs, prefillFreeMs) + prefillMs;
                prefillFreeMs = read ? prefillFreeMs : firstMs;
                record(job, cached, firstMs);
                at(
                        firstMs + job.durationMs(),
                        () -> {
                            running--;
                            job.permit().close();
                            startNext();
                        });
            }
        }

        private void record(Job job, int cached, double firstMs) {
            if (job.arrivedMs() < WARM_UP_MS) {
                return;
            }
            if (job.prefix().size() == 0) {
                readMs.add(firstMs + job.durationMs() - job.arrivedMs());
            } else {
                firstTokenMs.add(firstMs - job.arrivedMs());
                blocksRequested += job.prefix().size();
                blocksHit += cached;
            }
        }

        private int lookUp(PrefixHashes prefix) {
            int cached = 0;
            while (cached < prefix.size() && cache.containsKey(prefix.hash(cached))) {
                cached++;
            }
            List<CacheEvent> changes = new ArrayList<>();
            for (int i = 0; i < prefix.size(); i++) {
                if (cache.put(prefix.hash(i), true) == null) {
                    changes.add(CacheEvent.of(prefix.hash(i), true));
                }
            }
            while (cache.size() > CACHE_BLOCKS) {
                Long oldest = cache.keySet().iterator().next();
                cache.remove(oldest);
                changes.add(CacheEvent.of(oldest, false));
            }
            // A fifth of the events is dropped, the same ones for all instances.
            changes.removeIf(c -> droppedEvents.nextInt(5) == 0);
            at(
                    nowMs + lagMs,
                    () -> {
                        for (PrefixIndex index : indexes) {
                            index.apply(id, 1, changes);
                        }
                    });
            return cached;
        }

        EndpointState report() {
            reports.addLast(new EndpointLoad(running, queue.size(), SLOTS, 0));
            if (reports.size() > lagMs / 1_000 + 1) {
                reports.removeFirst();
            }
            return new EndpointState(
                    id, service, "h:1", zone, 1, Set.of(PIN), reports.peekFirst(), (long) nowMs);
        }
    }

    private static final double MEAN_DURATION_MS = 0.91 * 10_000 + 0.09 * 90_000;

    /** Returns the duration of a generation in milliseconds; 9 of 100 take 30 s to 150 s. */
    private double nextDurationMs() {
        return random.nextInt(100) < 9
                ? 30_000 + random.nextInt(120_000)
                : 2_000 + random.nextInt(16_000);
    }

    private final Map<String, PrefixHashes> prompts = new HashMap<>();

    /**
     * Dispatches a generation and schedules the next one. 70 of 100 come from three large accounts,
     * whose prompts of 40 KiB share six prefixes; the others are small and have no common prefix.
     */
    private void dispatchGeneration() {
        String account;
        String text;
        if (random.nextInt(100) < 70) {
            int large = random.nextInt(3);
            account = "large" + large;
            String shared = account + "-" + random.nextInt(6) + ";";
            text = shared.repeat(40 * 1_024 / shared.length()) + random.nextInt(50);
            text += ".".repeat(2_048);
        } else {
            account = "small" + random.nextInt(10);
            text = random.nextLong() + ":".repeat(4 * 1_024);
        }
        PrefixHashes prefix = prompts.computeIfAbsent(text, PrefixHashes::of);
        dispatch(WorkKind.GENERATION, "scribe", account, prefix, nextDurationMs());
        at(
                nowMs - Math.log(1 - random.nextDouble()) * 1_000 / arrivalsPerS,
                this::dispatchGeneration);
    }

    private void dispatchRead() {
        dispatch(WorkKind.READ, "ledger", "large0", PrefixHashes.NONE, 5);
        at(nowMs - Math.log(1 - random.nextDouble()) * 1_000 / 200, this::dispatchRead);
    }

    private void dispatch(
            WorkKind kind, String service, String account, PrefixHashes prefix, double durationMs) {
        int instance = random.nextInt(INSTANCES);
        RoutingRequest request =
                new RoutingRequest(
                        kind,
                        service,
                        AccountId.of(account),
                        kind == WorkKind.GENERATION ? Optional.of(PIN) : Optional.empty(),
                        prefix,
                        Set.of());
        EndpointId chosen = strategies[instance].choose(request).orElseThrow().id();
        DispatchPermit permit = trackers[instance].begin(chosen);
        for (Engine engine : kind == WorkKind.GENERATION ? engines : plainEndpoints) {
            if (engine.id.equals(chosen)) {
                engine.submit(new Job(prefix, durationMs, nowMs, permit));
            }
        }
    }

    /** Disseminates the work in flight every 100 ms over a tree of depth 3, with its delay. */
    private void disseminateInFlight() {
        for (int i = 0; i < INSTANCES; i++) {
            Map<Integer, Integer> sum = new HashMap<>();
            for (int j = 0; j < INSTANCES; j++) {
                if (i != j) {
                    trackers[j]
                            .snapshot()
                            .forEach(
                                    (id, n) ->
                                            sum.merge(
                                                    MergedEndpointState.handleOf(id, 1),
                                                    n,
                                                    Integer::sum));
                }
            }
            int instance = i;
            InFlightTable next = new InFlightTable(true, sum);
            at(nowMs + DISSEMINATION_LAG_MS, () -> others[instance] = next);
        }
        at(nowMs + 100, this::disseminateInFlight);
    }

    private void report() {
        Map<EndpointId, EndpointState> states = new HashMap<>();
        engines.forEach(e -> states.put(e.id, e.report()));
        plainEndpoints.forEach(e -> states.put(e.id, e.report()));
        table = new EndpointTable(states);
        double max = 0;
        double sum = 0;
        for (Engine engine : engines) {
            int load = engine.running + engine.queue.size();
            max = Math.max(max, load);
            sum += load;
        }
        if (sum > 0 && nowMs >= WARM_UP_MS) {
            imbalanceSum += max / (sum / engines.size());
            samples++;
        }
        at(nowMs + 1_000, this::report);
    }

    private String run() {
        report();
        disseminateInFlight();
        at(1, this::dispatchGeneration);
        at(1, this::dispatchRead);
        while (events.peek().atMs() < DURATION_MS) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return String.format(
                "%5.1f%% | %8.0f | %8.0f | %5.2f | %6.1f | %d",
                100.0 * blocksHit / blocksRequested,
                percentile(firstTokenMs, 50),
                percentile(firstTokenMs, 95),
                imbalanceSum / samples,
                percentile(readMs, 95),
                firstTokenMs.size());
    }

    private static double percentile(List<Double> values, int percent) {
        double[] sorted = values.stream().mapToDouble(v -> v).toArray();
        Arrays.sort(sorted);
        return sorted[Math.min(sorted.length - 1, sorted.length * percent / 100)];
    }

    /**
     * Runs all combinations and prints a table with one row per combination and seed.
     *
     * @param args number of seeds, default 1
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 1;
        System.out.println(
                "engines | use  | lag s | strategy      | seed | hit    | TTFT p50 | TTFT p95 |"
                        + " max/mean | read p95 | generations");
        for (int count : new int[] {25, 20}) {
            for (double utilization : new double[] {0.7, 0.9, 1.2}) {
                for (long lagS : new long[] {1, 5, 15}) {
                    for (String s :
                            List.of(
                                    "default",
                                    "reports only",
                                    "random",
                                    "round robin",
                                    "least load")) {
                        for (int seed = 1; seed <= seeds; seed++) {
                            String row =
                                    new RoutingComparison(s, count, lagS * 1_000, utilization, seed)
                                            .run();
                            System.out.printf(
                                    "%7d | %.2f | %5d | %-13s | %4d | %s%n",
                                    count, utilization, lagS, s, seed, row);
                        }
                    }
                }
            }
        }
    }
}
