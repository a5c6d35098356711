package io.sapphirestack.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.CallerAuthentication;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.RelayedAccount;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.RequestKind;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficPlanException;
import io.sapphirestack.core.relay.TrafficRoute;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against streams that preempt others of the same priority, and against an urgency where all
 * streams of a service are alike.
 */
class StreamUrgencyTests {

    private static final String SERVICE = "scribe";
    private static final long TARGET_MS = 4_000;

    private static TrafficRoute route(
            String service, RequestKind kind, int priority, long targetMs) {
        String name = service + "-" + kind + "-" + priority + "-" + targetMs;
        return new TrafficRoute(
                name,
                "h",
                "/" + name + "/",
                kind,
                25_000,
                targetMs,
                700,
                priority,
                2,
                true,
                List.of(new TrafficRoute.Target(service, 1)));
    }

    private static TrafficRoute stream(int priority, long targetMs) {
        return route(SERVICE, RequestKind.RESUMABLE_STREAM, priority, targetMs);
    }

    private static TrafficPlan plan(List<TrafficRoute> routes) throws TrafficPlanException {
        List<RelayedService> services =
                List.of(new RelayedService(SERVICE, true), new RelayedService("other", false));
        return new TrafficPlan(
                1, routes, services, CallerAuthentication.none(), CallerLimits.DEFAULT);
    }

    private static OptionalInt urgency(List<TrafficRoute> routes, int index)
            throws TrafficPlanException {
        return StreamUrgency.of(plan(routes), SERVICE, routes.get(index).priority());
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 3", "2, 5"})
    void higherPriorityIsMoreUrgentAndTheLowestHasTheDefault(int index, int expected)
            throws TrafficPlanException {
        List<TrafficRoute> routes =
                List.of(stream(0, TARGET_MS), stream(2, TARGET_MS), stream(5, TARGET_MS));
        assertThat(urgency(routes, index)).hasValue(expected);
    }

    @Test
    void twoPrioritiesDifferByOneStep() throws TrafficPlanException {
        List<TrafficRoute> routes = List.of(stream(0, TARGET_MS), stream(2, 10_000));
        assertThat(urgency(routes, 0)).hasValue(3);
        assertThat(urgency(routes, 1)).hasValue(5);
    }

    /** Guards against a route's priority that overrides the one of the account. */
    @Test
    void prioritiesOfAccountsReplaceThoseOfTheRoutes() throws TrafficPlanException {
        List<TrafficRoute> routes = List.of(stream(0, TARGET_MS), stream(9, TARGET_MS));
        List<RelayedAccount> accounts =
                List.of(
                        new RelayedAccount("gold", List.of("k1"), OptionalInt.of(1)),
                        new RelayedAccount("base", List.of("k2"), OptionalInt.of(3)));
        TrafficPlan plan =
                new TrafficPlan(
                        1,
                        routes.stream().map(StreamUrgencyTests::withKey).toList(),
                        List.of(new RelayedService(SERVICE, true)),
                        CallerAuthentication.byKeysOf(accounts),
                        CallerLimits.DEFAULT);
        assertThat(plan.streamPriorities(SERVICE)).containsExactly(1, 3);
        assertThat(StreamUrgency.of(plan, SERVICE, 1)).hasValue(3);
        assertThat(StreamUrgency.of(plan, SERVICE, 3)).hasValue(5);
    }

    private static TrafficRoute withKey(TrafficRoute r) {
        return new TrafficRoute(
                r.name(),
                r.host(),
                r.pathPrefix(),
                r.kind(),
                r.timeoutMs(),
                r.targetLatencyMs(),
                r.gapTargetMs(),
                r.priority(),
                r.maxAttempts(),
                false,
                r.targets());
    }

    @Test
    void urgencyIsAbsentWhereStreamsOfTheServiceHaveOnePriority() throws TrafficPlanException {
        List<TrafficRoute> routes =
                List.of(
                        stream(1, TARGET_MS),
                        stream(1, 10_000),
                        route(SERVICE, RequestKind.IDEMPOTENT, 0, 200),
                        route("other", RequestKind.RESUMABLE_STREAM, 0, TARGET_MS));
        assertThat(urgency(routes, 0)).isEmpty();
        assertThat(urgency(routes, 1)).isEmpty();
    }

    @Test
    void morePrioritiesThanGroupsKeepTheirOrder() throws TrafficPlanException {
        List<TrafficRoute> routes = new ArrayList<>();
        for (int priority = 0; priority < 7; priority++) {
            routes.add(stream(priority, TARGET_MS));
        }
        List<Integer> urgencies = new ArrayList<>();
        for (int i = 0; i < routes.size(); i++) {
            urgencies.add(urgency(routes, i).orElseThrow());
        }
        assertThat(urgencies).isSorted().startsWith(1).endsWith(5);
    }

    @Test
    void longestTimeForgetsOldObservations() {
        long[] nowMs = {0};
        ServiceTimes times = new ServiceTimes(() -> nowMs[0]);
        assertThat(times.longestMs("r")).isEmpty();
        times.record("r", 200);
        nowMs[0] += ServiceTimes.WINDOW_MS;
        times.record("r", 100);
        assertThat(times.longestMs("r")).hasValue(200);
        nowMs[0] += ServiceTimes.WINDOW_MS;
        assertThat(times.longestMs("r")).hasValue(100);
        nowMs[0] += 2 * ServiceTimes.WINDOW_MS;
        assertThat(times.longestMs("r")).isEmpty();
        assertThat(times.meanMs("r")).hasValue(195);
    }
}
