package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.StopTarget;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Record by which an instance plans its own stop, so that other instances leave it out of their
 * address lists. Thread-safe.
 */
public final class PlannedStopRecord {

    private static final EventLog LOG = EventLog.of(PlannedStopRecord.class);
    private static final String STOP_KIND = "stop";

    private final ControlClient control;
    private final Supplier<ControlView> view;
    private final long timeoutMs;

    /**
     * Creates the access to the record.
     *
     * @param control submits changes
     * @param view returns the published state
     * @param timeoutMs time for one change, in milliseconds
     */
    public PlannedStopRecord(ControlClient control, Supplier<ControlView> view, long timeoutMs) {
        this.control = Objects.requireNonNull(control, "control");
        this.view = Objects.requireNonNull(view, "view");
        this.timeoutMs = timeoutMs;
    }

    /**
     * Finds the record that plans the stop of an incarnation.
     *
     * @param view published state
     * @param self incarnation
     * @return the record, or empty if none applies to this incarnation
     */
    public static Optional<ConfigRecord> find(ControlView view, InstanceRef self) {
        return view.findRecord(key(self))
                .filter(
                        record -> {
                            long incarnation = incarnationOf(record);
                            return incarnation == 0 || incarnation == self.incarnation();
                        });
    }

    /**
     * Plans the stop. The record names the incarnation, so that it does not stop the next start if
     * it is left behind.
     *
     * @param self own incarnation
     */
    public void submit(InstanceRef self) {
        long expected = view.get().findRecord(key(self)).map(ConfigRecord::revision).orElse(0L);
        ObjectNode body =
                JsonNodeFactory.instance.objectNode().put("incarnation", self.incarnation());
        control.submit(
                        new ControlCommand.PutRecord(
                                UUID.randomUUID().toString(),
                                "instance:" + self.id(),
                                key(self),
                                expected,
                                1,
                                1,
                                body,
                                false),
                        timeoutMs)
                .whenComplete(
                        (result, failure) ->
                                LOG.info(
                                        "SAP1307",
                                        "Own stop was submitted",
                                        "result",
                                        failure == null ? result : failure));
    }

    /**
     * Deletes the record after the stop.
     *
     * @param self own incarnation, empty if the instance never joined
     * @return completes when the record is deleted or could not be deleted in time
     */
    public CompletableFuture<Void> delete(Optional<InstanceRef> self) {
        return self.flatMap(ref -> view.get().findRecord(key(ref)))
                .filter(record -> incarnationOf(record) != 0)
                .map(this::delete)
                .orElse(CompletableFuture.completedFuture(null));
    }

    /**
     * Deletes a record that an earlier incarnation left behind.
     *
     * @param self own incarnation
     */
    public void deleteObsolete(InstanceRef self) {
        view.get()
                .findRecord(key(self))
                .filter(record -> incarnationOf(record) != 0)
                .filter(record -> incarnationOf(record) < self.incarnation())
                .ifPresent(this::delete);
    }

    private CompletableFuture<Void> delete(ConfigRecord record) {
        return control.submit(
                        new ControlCommand.DeleteRecord(
                                UUID.randomUUID().toString(),
                                record.operator(),
                                record.key(),
                                record.revision(),
                                false),
                        timeoutMs)
                .handle((result, failure) -> null);
    }

    private static RecordKey key(InstanceRef self) {
        return new RecordKey(STOP_KIND, StopTarget.INSTANCE.namePrefix() + self.id());
    }

    private static long incarnationOf(ConfigRecord record) {
        return record.body().path("incarnation").asLong(0);
    }
}
