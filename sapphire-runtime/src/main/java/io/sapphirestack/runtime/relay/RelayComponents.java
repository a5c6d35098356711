package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RateLimitedPlacement;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Components that the relays of an instance share. All are thread-safe.
 *
 * @param context collaborators that the instance provides
 * @param pool connections to endpoints
 * @param startupWaiter lets requests wait while the instance has just started
 * @param crashGuard keeps quarantined requests away from endpoints
 * @param candidates endpoints to which a request may be sent
 * @param observer is told what endpoints respond
 * @param admission decides when a request may be placed
 * @param standby what the standby copies of all streams share
 * @param urgency decides how urgent a stream is for its engine
 * @param placement chooses the endpoint of each attempt
 */
record RelayComponents(
        RelayContext context,
        UpstreamPool pool,
        StartupWaiter startupWaiter,
        CrashGuard crashGuard,
        RelayCandidates candidates,
        AttemptObserver observer,
        RelayAdmission admission,
        StandbyServices standby,
        UrgencyPolicy urgency,
        RateLimitedPlacement placement) {

    static RelayComponents create(
            RelayContext context,
            UpstreamPool pool,
            StartupWaiter startupWaiter,
            Executor copyOrders) {
        RolloutTraffic rollouts =
                new RolloutTraffic(
                        context.rollouts(),
                        context.clock(),
                        endpoint -> context.health().isSuspect(endpoint.id()));
        RelayCandidates candidates =
                new RelayCandidates(context, signalFilter(context).and(rollouts));
        PlainRequestAdmission admission = new PlainRequestAdmission(context, candidates);
        StreamUrgencyPolicy urgency = new StreamUrgencyPolicy(context);
        return new RelayComponents(
                context,
                pool,
                startupWaiter,
                new CrashGuard(context, pool),
                candidates,
                AttemptObserver.all(
                        List.of(
                                new RateLimitObserver(context.rateLimiter().named()),
                                signalObserver(context),
                                speedObserver(context),
                                rollouts,
                                admission)),
                admission,
                new StandbyServices(
                        candidates, pool, new CopyOrderClient(context.copyOrders()), copyOrders),
                urgency,
                new RateLimitedPlacement(context.placement(), context.rateLimiter()));
    }

    private static EndpointFilter signalFilter(RelayContext context) {
        return (request, endpoints) -> context.signals().available(endpoints);
    }

    private static AttemptObserver signalObserver(RelayContext context) {
        return new EndpointSignalObserver(
                context.signals(), context.metrics(), context.clock(), MillisClock.wall());
    }

    private static AttemptObserver speedObserver(RelayContext context) {
        return new EndpointSpeedObserver(context.speeds(), context.signals(), context.clock());
    }
}
