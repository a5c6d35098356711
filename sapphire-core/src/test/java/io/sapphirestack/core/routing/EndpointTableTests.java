package io.sapphirestack.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against new work for endpoints that are draining or whose address was taken over. */
class EndpointTableTests {

    private static EndpointState state(
            String id, String service, String address, long epochMs, EndpointPhase phase) {
        return new EndpointState(
                EndpointId.of(id),
                service,
                address,
                "z1",
                epochMs,
                Set.of(),
                EndpointLoad.NONE,
                phase,
                0,
                "");
    }

    @Test
    void drainingAndReplacedEndpointsAcceptNoNewWork() {
        EndpointState serving = state("e1", "s", "a:1", 5, EndpointPhase.SERVING);
        EndpointState draining = state("e2", "s", "a:2", 5, EndpointPhase.DRAINING);
        EndpointState replaced = state("e3", "s", "a:3", 5, EndpointPhase.SERVING);
        EndpointState successor = state("e4", "other", "a:3", 6, EndpointPhase.SERVING);
        EndpointTable table =
                new EndpointTable(
                        Map.of(
                                serving.id(), serving,
                                draining.id(), draining,
                                replaced.id(), replaced,
                                successor.id(), successor));
        assertThat(table.ofService("s")).containsExactly(serving);
        assertThat(table.ofService("other")).containsExactly(successor);
        assertThat(table.find(draining.id())).contains(draining);
    }
}
