package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.relay.CallerAuthentication;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a plan that is stored but never acknowledged, because each repeat of it waits for
 * another write of a disk that takes longer than one call.
 */
class TrafficPlanStoreTests {

    private static final long STORED_VERSION = 7;
    private static final long TIMEOUT_MS = 900;

    @ParameterizedTest
    @CsvSource({"6, true", "7, true", "8, false"})
    void repeatOfAStoredPlanIsAcknowledgedWithoutAWrite(long version, boolean acknowledged)
            throws Exception {
        TrafficPlanStore store =
                new TrafficPlanStore(
                        new ClientWithoutResult(),
                        (key, timeoutMs) ->
                                CompletableFuture.completedFuture(Optional.of(stored())),
                        () -> ControlView.EMPTY,
                        (text, origin) ->
                                new TrafficPlan(
                                        Long.parseLong(text),
                                        List.of(),
                                        List.of(),
                                        CallerAuthentication.none(),
                                        CallerLimits.DEFAULT));

        CompletableFuture<Void> result = store.submit(Long.toString(version), TIMEOUT_MS);

        assertThat(result.isDone()).isEqualTo(acknowledged);
    }

    private static ConfigRecord stored() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put(ControlState.NUMBER_FIELD, STORED_VERSION);
        body.put(ControlState.CONTENT_FIELD, "plan");
        return new ConfigRecord(TrafficPlanStore.RECORD_KEY, 1, 1, 3, "c", "operator", body);
    }

    /** Client whose submissions are still being written when the call ends. */
    private static final class ClientWithoutResult implements ControlClient {

        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
            return new CompletableFuture<>();
        }
    }
}
