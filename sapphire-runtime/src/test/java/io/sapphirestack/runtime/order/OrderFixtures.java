package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.quarantine.CrashHistoryTable;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;

/** Service specification, endpoints and routing for tests of orders and reads. */
final class OrderFixtures {

    static final String SERVICE = "ledger";
    static final ServiceSpec SPEC =
            new ServiceSpec(
                    ServiceType.PLAIN,
                    "",
                    true,
                    false,
                    0,
                    1_000,
                    5_000,
                    ResumeSpec.DEFAULT,
                    ObjectivesSpec.DEFAULT);

    private OrderFixtures() {}

    static EndpointState endpoint(String id, String address) {
        return new EndpointState(
                EndpointId.of(id), SERVICE, address, "az1", 1, Set.of(), EndpointLoad.NONE, 0);
    }

    /** Returns a strategy that chooses the first endpoint that is not excluded. */
    static RoutingStrategy firstOf(List<EndpointState> endpoints) {
        return request ->
                endpoints.stream().filter(e -> !request.excluded().contains(e.id())).findFirst();
    }

    /**
     * Returns a client of the control log that runs commands about orders.
     *
     * @param apply runs a command and returns its result
     */
    static ControlClient controlClient(
            Function<ControlCommand, CompletableFuture<ControlResult>> apply) {
        return new ControlClient() {
            @Override
            public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
                return apply.apply(command);
            }

            @Override
            public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
                throw new UnsupportedOperationException();
            }
        };
    }

    /** Returns a monitor for which endpoints accept connections as the predicate tells. */
    static RequestCrashMonitor crashMonitor(Predicate<EndpointState> accepts) {
        MillisClock wallClock = MillisClock.wall();
        return new RequestCrashMonitor(
                new RequestQuarantine(new CrashHistoryTable(wallClock), wallClock, 1),
                accepts,
                crash -> {},
                MillisClock.monotonic());
    }
}
