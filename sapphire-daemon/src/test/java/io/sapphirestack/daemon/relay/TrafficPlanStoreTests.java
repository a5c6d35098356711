package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.control.ValidatedCommand;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.relay.CallerAuthentication;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficPlanException;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
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
                        (key, timeoutMs) -> new CompletableFuture<>(),
                        (key, timeoutMs) ->
                                CompletableFuture.completedFuture(OptionalLong.of(STORED_VERSION)),
                        () -> ControlView.EMPTY,
                        (text, origin) -> plan(Long.parseLong(text)),
                        Runnable::run);

        CompletableFuture<Void> result = store.submit(Long.toString(version), TIMEOUT_MS);

        assertThat(result.isDone()).isEqualTo(acknowledged);
    }

    /**
     * Guards against reads that move a whole plan between instances although the one that is asked
     * holds it (review/6), and against a plan that is older than the newest one.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, false",
        "7, 7, 7, false",
        "8, 7, 8, false",
        "6, 7, 7, true",
        "0, 7, 7, true"
    })
    void textIsReadFromAnotherInstanceOnlyIfItIsNewerThanTheHeldOne(
            long held, long newest, long read, boolean isTransferred) throws Exception {
        AtomicInteger transfers = new AtomicInteger();
        TrafficPlanStore store =
                new TrafficPlanStore(
                        new ClientWithoutResult(),
                        (key, timeoutMs) -> {
                            transfers.incrementAndGet();
                            return CompletableFuture.completedFuture(record(newest));
                        },
                        (key, timeoutMs) ->
                                CompletableFuture.completedFuture(
                                        RecordContent.numberOf(record(newest))),
                        () -> viewOf(record(held)),
                        (text, origin) -> {
                            throw new IllegalStateException("nothing is decoded");
                        },
                        Runnable::run);

        Optional<String> text = store.readNewest(TIMEOUT_MS).get();

        assertThat(text.orElse("plan 0")).isEqualTo("plan " + read);
        assertThat(transfers.get() > 0).isEqualTo(isTransferred);
    }

    /**
     * Guards against requests that wait for the decoding of a large plan: they go on with the plan
     * before, and the newest one is in force once it is decoded, even if others came meanwhile.
     */
    @Test
    void requestsDoNotWaitForTheDecodingOfALaterPlan() {
        AtomicReference<ControlView> view = new AtomicReference<>(viewOf(record(1, 1)));
        Deque<Runnable> queued = new ArrayDeque<>();
        List<String> decodedTexts = new ArrayList<>();
        TrafficPlanStore store =
                new TrafficPlanStore(
                        new ClientWithoutResult(),
                        (key, timeoutMs) -> new CompletableFuture<>(),
                        (key, timeoutMs) -> new CompletableFuture<>(),
                        view::get,
                        (text, origin) -> {
                            decodedTexts.add(text);
                            return plan(Long.parseLong(text.substring("plan ".length())));
                        },
                        queued::add);
        assertThat(store.current().map(TrafficPlan::version)).contains(1L);

        for (long number = 2; number <= 4; number++) {
            view.set(viewOf(record(number, number)));
            store.refresh();
            assertThat(store.current().map(TrafficPlan::version)).contains(1L);
        }
        assertThat(queued).hasSize(1);
        queued.remove().run();

        assertThat(store.current().map(TrafficPlan::version)).contains(4L);
        assertThat(queued).isEmpty();
        assertThat(decodedTexts).containsExactly("plan 1", "plan 4");
    }

    private static TrafficPlan plan(long version) throws TrafficPlanException {
        return new TrafficPlan(
                version, List.of(), List.of(), CallerAuthentication.none(), CallerLimits.DEFAULT);
    }

    private static Optional<ConfigRecord> record(long number) {
        return record(number, 1);
    }

    private static Optional<ConfigRecord> record(long number, long revision) {
        if (number == 0) {
            return Optional.empty();
        }
        ControlState state = new ControlState();
        state.apply(
                revision,
                0,
                new ValidatedCommand(
                        new ControlCommand.PutNewest(
                                "operator",
                                TrafficPlanStore.RECORD_KEY,
                                number,
                                RecordContent.encode("plan " + number)),
                        Optional.empty()));
        return state.view().findRecord(TrafficPlanStore.RECORD_KEY);
    }

    private static ControlView viewOf(Optional<ConfigRecord> record) {
        return new ControlView(
                1,
                record.map(found -> Map.of(found.key(), found)).orElse(Map.of()),
                Map.of(),
                List.of());
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
