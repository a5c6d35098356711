package io.sapphirestack.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against sending work under a stale configuration, or to an endpoint that is stopping or
 * has restarted since it was chosen.
 */
class DefaultDispatchGuardTests {
    private static final EndpointId E1 = EndpointId.of("e1");

    private long nowMs = 1_000;
    private ConfigurationLease lease = new ConfigurationLease(2_000);
    private EndpointState current = state(1);
    private final Set<EndpointId> stopping = new HashSet<>();
    private final InFlightTracker inFlight = new InFlightTracker(() -> nowMs);
    private final DefaultDispatchGuard guard =
            new DefaultDispatchGuard(
                    () -> lease,
                    () -> new EndpointTable(Map.of(E1, current)),
                    stopping::contains,
                    name -> Optional.of(service(500)),
                    inFlight,
                    () -> nowMs);

    private static EndpointState state(long epochMs) {
        return new EndpointState(
                E1, "ledger", "h:1", "az1", epochMs, Set.of(), EndpointLoad.NONE, 0);
    }

    private static ServiceSpec service(long staleReadLimitMs) {
        return new ServiceSpec(
                ServiceType.PLAIN,
                "x",
                true,
                false,
                staleReadLimitMs,
                1_000,
                5_000,
                ResumeSpec.DEFAULT,
                ObjectivesSpec.DEFAULT);
    }

    private void assertRefused(WorkKind kind, String code) {
        assertThatThrownBy(() -> guard.begin(current, kind))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo(code);
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                        });
        assertThat(inFlight.inFlight(E1)).as("a refusal leaves nothing in flight").isZero();
    }

    @ParameterizedTest
    @EnumSource(WorkKind.class)
    void workIsInFlightUntilPermitIsClosed(WorkKind kind) throws RefusedException {
        DispatchPermit permit = guard.begin(current, kind);
        assertThat(inFlight.snapshot()).containsExactly(Map.entry(E1, 1));
        permit.close();
        permit.close();
        assertThat(inFlight.snapshot()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = WorkKind.class,
            names = {"GENERATION", "ORDER"})
    void staleConfigurationRefusesAllButReads(WorkKind kind) {
        nowMs = 2_000;
        assertRefused(kind, "configuration_stale");
    }

    @Test
    void readsAreAllowedUntilTheStaleReadLimit() throws RefusedException {
        nowMs = 2_499;
        guard.begin(current, WorkKind.READ).close();
        nowMs = 2_500;
        assertRefused(WorkKind.READ, "configuration_stale");
        lease = ConfigurationLease.NONE;
        assertRefused(WorkKind.READ, "configuration_stale");
    }

    @ParameterizedTest
    @EnumSource(WorkKind.class)
    void stoppingOrRestartedEndpointIsRefused(WorkKind kind) {
        stopping.add(E1);
        assertRefused(kind, "no_endpoint");
        stopping.clear();
        EndpointState chosen = current;
        current = state(2);
        assertThatThrownBy(() -> guard.begin(chosen, kind)).isInstanceOf(RefusedException.class);
    }
}
