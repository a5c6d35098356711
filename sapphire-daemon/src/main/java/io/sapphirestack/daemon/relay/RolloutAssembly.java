package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.version.VersionCountsTable;
import io.sapphirestack.daemon.LocalVoter;
import io.sapphirestack.runtime.control.DefaultControlClient;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.concurrent.ScheduledExecutorService;

/** Creates and connects the components that roll out new versions of services. */
final class RolloutAssembly {

    private final LocalRollouts rollouts;
    private final RolloutController controller;
    private final RolloutService service;

    /**
     * Creates the components; none of them runs before {@link #start}.
     *
     * @param control client of the control log
     * @param view published control state
     * @param trafficPlans traffic plans of the operator
     * @param endpoints published endpoints
     * @param others published counts of all other instances
     * @param localVoter voter of this process, which tells whether it leads the control log
     */
    RolloutAssembly(
            DefaultControlClient control,
            BlackboardPart<ControlView> view,
            TrafficPlanStore trafficPlans,
            BlackboardPart<EndpointTable> endpoints,
            BlackboardPart<VersionCountsTable> others,
            LocalVoter localVoter) {
        MillisClock wallClock = MillisClock.wall();
        RolloutRecords records = new RolloutRecords(control, control, view::read);
        this.rollouts = new LocalRollouts(records::rollouts, wallClock);
        this.service = new RolloutService(records, trafficPlans::current, wallClock);
        this.controller =
                new RolloutController(
                        records,
                        rollouts,
                        trafficPlans::current,
                        endpoints::read,
                        others::read,
                        () -> isLeader(localVoter));
    }

    private static boolean isLeader(LocalVoter voter) {
        return voter.service()
                .filter(control -> control.leaderLease().current().isPresent())
                .isPresent();
    }

    /**
     * Starts the periodic evaluation and registers the gauges.
     *
     * @param scheduler runs the evaluation; the caller shuts it down
     * @param metrics metrics of the instance
     */
    void start(ScheduledExecutorService scheduler, Metrics metrics) {
        metrics.registerGauge(
                "sapphire_rollouts_in_progress",
                "Rollouts of new versions of services that are in progress.",
                () -> rollouts.inProgress().size());
        metrics.registerGauge(
                "sapphire_rollouts_stopped",
                "Rollouts in progress whose version this instance has stopped using.",
                rollouts::stoppedCount);
        controller.start(scheduler);
    }

    /** Returns the rollouts that the request path uses. */
    LocalRollouts rollouts() {
        return rollouts;
    }

    /** Returns the service that takes the orders of operators. */
    RolloutService service() {
        return service;
    }
}
