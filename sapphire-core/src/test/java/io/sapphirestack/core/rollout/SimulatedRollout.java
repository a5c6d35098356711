package io.sapphirestack.core.rollout;

import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.record.RolloutState;
import io.sapphirestack.core.version.VersionCounts;
import io.sapphirestack.core.version.VersionCountsTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Rollout at four instances that exchange their counts with a delay, with one plain service of two
 * routes. The load oscillates, and endpoints crash by zone.
 */
final class SimulatedRollout {

    static final long PERIOD_MS = 40_000;

    private static final int INSTANCES = 4;
    private static final double REQUESTS_PER_S = 187;
    private static final double MEAN_SERVICE_MS = 43;
    private static final long TICK_MS = 500;
    private static final long CRASH_INTERVAL_MS = 3_500;
    private static final long CRASH_FAILURES_MS = 600;
    private static final long START_MS = 1_700_000_000_000L;
    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", PERIOD_MS);

    /** How a version behaves; the comment says which responses are bad. */
    enum Kind {
        GOOD,
        /** All its endpoints are in one zone, so they crash together. */
        GOOD_IN_ONE_ZONE,
        /** Both versions fail a tenth of the requests. */
        GOOD_WHILE_ALL_FAIL,
        FAILS,
        SLOW,
        LATER,
        UNDER_LOAD,
        ONE_ROUTE,
        /** It fails more than the old version, which fails a tenth. */
        WORSE_THAN_FAILING;

        boolean isGood() {
            return name().startsWith("GOOD");
        }
    }

    /** Result of a run; times are after the order, in milliseconds. */
    record Result(
            RolloutState state,
            long endMs,
            long requests,
            long newRequests,
            long stoppedLateRequests) {

        double exposureOfBound() {
            return newRequests / (0.1 * requests + 50);
        }
    }

    private final Kind kind;
    private final SplittableRandom random;
    private final double badRate;
    private final long badFromMs;
    private final double loadPhase;
    private final double slowFactor;
    private final LocalRollout[] instances = new LocalRollout[INSTANCES];
    private final List<Map<Integer, VersionCounts>> exchanged = new ArrayList<>();
    private long nowMs;
    private RolloutSpec record;
    private long badResponses;
    private long stopLimitMs = Long.MAX_VALUE;
    private long requests;
    private long newRequests;
    private long lateRequests;
    private long endMs = PERIOD_MS;

    SimulatedRollout(Kind kind, long seed) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.badRate = 0.2 + 0.5 * random.nextDouble();
        this.slowFactor = 3 + 4 * random.nextDouble();
        this.loadPhase = random.nextDouble();
        this.badFromMs = kind == Kind.LATER ? (long) (PERIOD_MS * 0.8 * random.nextDouble()) : 0;
        this.record = ORDER.start(Optional.empty(), START_MS);
        for (int i = 0; i < INSTANCES; i++) {
            instances[i] = newInstance();
            exchanged.add(Map.of());
        }
    }

    private LocalRollout newInstance() {
        return new LocalRollout(record, () -> START_MS + nowMs);
    }

    /** Runs until the deadline; the evaluating instance may be replaced halfway. */
    Result run(boolean evaluatorLost) {
        int evaluator = 0;
        while (nowMs < PERIOD_MS) {
            if (evaluatorLost && evaluator == 0 && nowMs >= PERIOD_MS / 2) {
                instances[0] = newInstance();
                evaluator = 1;
            }
            sendRequests();
            nowMs += TICK_MS;
            evaluate(evaluator);
        }
        evaluate(evaluator);
        return new Result(record.state(), endMs, requests, newRequests, lateRequests);
    }

    private void sendRequests() {
        double load = 1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / 13_000.0 + loadPhase));
        int count = (int) Math.round(REQUESTS_PER_S * TICK_MS / 1_000 * load);
        for (int i = 0; i < count; i++) {
            send(instances[random.nextInt(INSTANCES)]);
        }
    }

    private void send(LocalRollout instance) {
        double share =
                switch (record.state()) {
                    case IN_PROGRESS -> instance.isStopped() ? 0 : record.share();
                    case ADOPTED -> 1;
                    case WITHDRAWN -> 0;
                };
        boolean isNew = random.nextDouble() < share;
        String route = random.nextInt(10) < 7 ? "a" : "b";
        requests++;
        if (isNew) {
            newRequests++;
            lateRequests += nowMs > stopLimitMs ? 1 : 0;
        }
        respond(instance, route, isNew, share);
    }

    private void respond(LocalRollout instance, String route, boolean isNew, double share) {
        boolean bad = isNew && isBad(route, share);
        boolean failed = bad && kind != Kind.SLOW || random.nextDouble() < failureRate(isNew);
        double factor = bad && kind == Kind.SLOW ? slowFactor : 1;
        long latencyMs = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MS * factor) + 5;
        if (failed) {
            instance.recordFailure(route, isNew ? "v2" : "v1");
        } else {
            instance.recordResponse(route, isNew ? "v2" : "v1", latencyMs);
        }
        if (bad && ++badResponses == 50) {
            stopLimitMs = nowMs + 5_000;
        }
    }

    private boolean isBad(String route, double share) {
        boolean active =
                switch (kind) {
                    case FAILS, SLOW, WORSE_THAN_FAILING -> true;
                    case LATER -> nowMs >= badFromMs;
                    case UNDER_LOAD -> share >= 0.3;
                    case ONE_ROUTE -> route.equals("b");
                    default -> false;
                };
        return active && random.nextDouble() < badRate;
    }

    private double failureRate(boolean isNew) {
        boolean crash = nowMs % CRASH_INTERVAL_MS < CRASH_FAILURES_MS;
        long zone = nowMs / CRASH_INTERVAL_MS % 3;
        if (crash) {
            return isNew && kind == Kind.GOOD_IN_ONE_ZONE ? (zone == 0 ? 1 : 0) : 1.0 / 3;
        }
        return kind == Kind.GOOD_WHILE_ALL_FAIL || kind == Kind.WORSE_THAN_FAILING ? 0.1 : 0.002;
    }

    private void evaluate(int evaluator) {
        for (int i = 0; i < INSTANCES; i++) {
            Map<Integer, VersionCounts> others = new HashMap<>();
            for (int j = 0; j < INSTANCES; j++) {
                if (j != i) {
                    exchanged.get(j).forEach((h, c) -> others.merge(h, c, VersionCounts::plus));
                }
            }
            instances[i].evaluate(new VersionCountsTable(others), List.of("a", "b"));
        }
        for (int i = 0; i < INSTANCES; i++) {
            exchanged.set(i, instances[i].counts());
        }
        Optional<RolloutSpec> next =
                instances[evaluator].next(
                        record, new RolloutEvaluation.KnownEndpoints(true, List.of("v1")));
        if (next.isPresent()) {
            record = next.get();
            endMs = record.isInProgress() ? endMs : nowMs;
        }
    }
}
