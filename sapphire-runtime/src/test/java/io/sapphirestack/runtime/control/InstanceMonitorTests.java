package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against evictions that are too early, too late, repeated, or caused by a reporter that is
 * not live.
 */
class InstanceMonitorTests {

    private static final InstanceRef I1 = new InstanceRef(InstanceId.of("i1"), 1);
    private static final InstanceRef I2 = new InstanceRef(InstanceId.of("i2"), 1);
    private static final InstanceRef I3 = new InstanceRef(InstanceId.of("i3"), 1);
    private static final ControlView VIEW = view(I1, I2, I3);

    private final InstanceMonitor monitor = new InstanceMonitor();

    @Test
    void newLeaderEvictsOnlyAfterAFullTimeout() {
        monitor.restartObservation(10_000);

        assertThat(monitor.takeDueEvictions(VIEW, 11_500)).isEmpty();
        monitor.recordHeartbeat(status(I2), 11_400);
        assertThat(monitor.takeDueEvictions(VIEW, 11_501)).containsExactlyInAnyOrder(I1, I3);
    }

    @Test
    void unappliedEvictionIsProposedAgainAfterATimeout() {
        monitor.restartObservation(0);
        monitor.takeDueEvictions(VIEW, 1_501);

        assertThat(monitor.takeDueEvictions(VIEW, 3_000)).isEmpty();
        assertThat(monitor.takeDueEvictions(VIEW, 3_502)).hasSize(3);
    }

    @Test
    void secondOfTwoMutualReportsIsRejected() {
        assertThat(monitor.acceptReport(VIEW, I1, I2, 0)).isTrue();
        assertThat(monitor.acceptReport(VIEW, I2, I1, 1)).isFalse();
    }

    @Test
    void reporterCausesAtMostOneEvictionInTenSeconds() {
        assertThat(monitor.acceptReport(VIEW, I1, I2, 0)).isTrue();
        assertThat(monitor.acceptReport(VIEW, I1, I3, 9_999)).isFalse();
        assertThat(monitor.acceptReport(VIEW, I1, I3, 10_000)).isTrue();
    }

    @Test
    void reportFromOrAboutANonLiveIncarnationOrOneselfIsRejected() {
        InstanceRef notLive = new InstanceRef(I1.id(), 2);

        assertThat(monitor.acceptReport(VIEW, notLive, I2, 0)).isFalse();
        assertThat(monitor.acceptReport(VIEW, I2, notLive, 0)).isFalse();
        assertThat(monitor.acceptReport(VIEW, I2, I2, 0)).isFalse();
    }

    private static InstanceStatus status(InstanceRef ref) {
        return new InstanceStatus(ref, 0, Readiness.READY, 0, Map.of(), List.of());
    }

    private static ControlView view(InstanceRef... refs) {
        Map<InstanceId, InstanceInfo> instances = new HashMap<>();
        for (InstanceRef ref : refs) {
            instances.put(ref.id(), new InstanceInfo(ref, "az1", "r1", "p:1", "h:1", 1));
        }
        return new ControlView(1, Map.of(), instances, List.of());
    }
}
