package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RateLimitedPlacement;
import java.util.List;

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
        RequestAdmission admission,
        UrgencyPolicy urgency,
        RateLimitedPlacement placement) {

    static RelayComponents create(
            RelayContext context, UpstreamPool pool, StartupWaiter startupWaiter) {
        RolloutTraffic rollouts = new RolloutTraffic(context.rollouts(), context.clock());
        return new RelayComponents(
                context,
                pool,
                startupWaiter,
                new CrashGuard(context, pool),
                new RelayCandidates(context.endpoints(), rollouts),
                AttemptObserver.all(
                        List.of(new RateLimitObserver(context.rateLimiter().named()), rollouts)),
                RequestAdmission.IMMEDIATE,
                UrgencyPolicy.DEFAULT,
                new RateLimitedPlacement(context.placement(), context.rateLimiter()));
    }
}
