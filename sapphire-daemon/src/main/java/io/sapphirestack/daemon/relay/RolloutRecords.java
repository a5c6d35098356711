package io.sapphirestack.daemon.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.RecordReader;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Reads and writes the records of rollouts in the control log. Thread-safe. */
final class RolloutRecords {

    private final ControlClient control;
    private final RecordReader reader;
    private final Supplier<ControlView> view;
    private final RecordSpecResolver resolver = new RecordSpecResolver();
    private volatile Known known = Known.of(ControlView.EMPTY, Map.of());

    /** Rollouts of one control view. */
    private record Known(
            ControlView view, Map<String, Stored> byService, Map<String, RolloutSpec> rollouts) {

        static Known of(ControlView view, Map<String, Stored> byService) {
            Map<String, RolloutSpec> rollouts = new HashMap<>();
            byService.forEach((service, stored) -> rollouts.put(service, stored.rollout()));
            return new Known(view, Map.copyOf(byService), Map.copyOf(rollouts));
        }
    }

    /**
     * Rollout with the revision of its record.
     *
     * @param rollout content of the record
     * @param revision revision that a change is based on
     */
    record Stored(RolloutSpec rollout, long revision) {}

    RolloutRecords(ControlClient control, RecordReader reader, Supplier<ControlView> view) {
        this.control = Objects.requireNonNull(control, "control");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.view = Objects.requireNonNull(view, "view");
    }

    /** Returns the last rollout of each service that this instance knows. */
    Map<String, Stored> known() {
        ControlView current = view.get();
        Known last = known;
        if (last.view() == current) {
            return last.byService();
        }
        Map<String, Stored> byService = new HashMap<>();
        current.records().values().stream()
                .filter(record -> record.key().kind().equals(RolloutSpec.KIND))
                .forEach(
                        record ->
                                decode(record)
                                        .ifPresent(s -> byService.put(s.rollout().service(), s)));
        Known next = Known.of(current, byService);
        known = next;
        return next.byService();
    }

    /** Returns the last rollout of each service that this instance knows, without revisions. */
    Map<String, RolloutSpec> rollouts() {
        known();
        return known.rollouts();
    }

    private Optional<Stored> decode(ConfigRecord record) {
        return resolver.rollout(record).map(rollout -> new Stored(rollout, record.revision()));
    }

    /**
     * Reads the last rollout of a service by a linearizable read.
     *
     * @param service name of the service
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return rollout, empty if there is none; fails if it cannot be confirmed
     */
    CompletableFuture<Optional<Stored>> read(String service, long timeoutMs) {
        return reader.readRecord(keyOf(service), timeoutMs)
                .thenApply(record -> record.flatMap(this::decode));
    }

    /**
     * Writes a rollout if the record still has an expected revision.
     *
     * @param rollout new content
     * @param expectedRevision revision of the record that the content is based on, 0 for none
     * @param operator who writes
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return result of the write
     */
    CompletableFuture<ControlResult> write(
            RolloutSpec rollout, long expectedRevision, String operator, long timeoutMs) {
        return control.submit(
                new ControlCommand.PutRecord(
                        UUID.randomUUID().toString(),
                        operator,
                        keyOf(rollout.service()),
                        expectedRevision,
                        1,
                        1,
                        rollout.toBody(),
                        false),
                timeoutMs);
    }

    /** Returns the key of a service; its name is hashed, because it may not be a valid key. */
    private static RecordKey keyOf(String service) {
        String hash =
                Hashing.xxh3_128()
                        .hashBytesTo128Bits(service.getBytes(StandardCharsets.UTF_8))
                        .toString();
        return new RecordKey(RolloutSpec.KIND, "s" + hash.replace("0x", ""));
    }
}
