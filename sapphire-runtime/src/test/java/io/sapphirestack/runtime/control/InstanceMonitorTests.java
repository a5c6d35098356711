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

/** Guards against evictions that are too early, too late or caused by an evicted reporter. */
class InstanceMonitorTests {

    private static final InstanceRef I1 = new InstanceRef(InstanceId.of("i1"), 1);
    private static final InstanceRef I2 = new InstanceRef(InstanceId.of("i2"), 1);
    private static final InstanceRef I3 = new InstanceRef(InstanceId.of("i3"), 1);
    private static final ControlView VIEW = view(I1, I2, I3);

    private final InstanceMonitor monitor = new InstanceMonitor();

    @Test
    void newLeaderWaitsAFullPeriodAndEvictsAllDueTogether() {
        monitor.restart(10_000);

        assertThat(monitor.due(VIEW, 11_500)).isEmpty();
        monitor.heartbeat(status(I2), 11_400);
        assertThat(monitor.due(VIEW, 11_501)).containsExactlyInAnyOrder(I1, I3);
    }

    @Test
    void evictionIsProposedAgainOnlyIfItIsNotApplied() {
        monitor.restart(0);
        monitor.due(VIEW, 1_501);

        assertThat(monitor.due(VIEW, 3_000)).isEmpty();
        assertThat(monitor.due(VIEW, 3_502)).hasSize(3);
    }

    @Test
    void firstOfTwoMutualReportsWins() {
        assertThat(monitor.acceptsReport(VIEW, I1, I2, 0)).isTrue();
        assertThat(monitor.acceptsReport(VIEW, I2, I1, 1)).isFalse();
    }

    @Test
    void reporterCausesOneEvictionInTenSeconds() {
        assertThat(monitor.acceptsReport(VIEW, I1, I2, 0)).isTrue();
        assertThat(monitor.acceptsReport(VIEW, I1, I3, 9_999)).isFalse();
        assertThat(monitor.acceptsReport(VIEW, I1, I3, 10_000)).isTrue();
    }

    @Test
    void reportFromOrAboutAnIncarnationThatIsNotLiveIsIgnored() {
        InstanceRef gone = new InstanceRef(I1.id(), 2);

        assertThat(monitor.acceptsReport(VIEW, gone, I2, 0)).isFalse();
        assertThat(monitor.acceptsReport(VIEW, I2, gone, 0)).isFalse();
        assertThat(monitor.acceptsReport(VIEW, I2, I2, 0)).isFalse();
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
