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
 * Reads and writes the configuration record by which an instance plans its own stop, so that other
 * instances leave it out of their address lists. Thread-safe.
 */
public final class PlannedStopRecord {

    private static final EventLog LOG = EventLog.of(PlannedStopRecord.class);
    private static final String STOP_KIND = "stop";

    private final ControlClient control;
    private final Supplier<ControlView> view;
    private final long timeoutMs;

    /**
     * Creates an object that accesses the record.
     *
     * @param control client that submits changes of the record
     * @param view returns the published control state
     * @param timeoutMs timeout of one change, in milliseconds
     */
    public PlannedStopRecord(ControlClient control, Supplier<ControlView> view, long timeoutMs) {
        this.control = Objects.requireNonNull(control, "control");
        this.view = Objects.requireNonNull(view, "view");
        this.timeoutMs = timeoutMs;
    }

    /**
     * Finds the record that plans the stop of an incarnation.
     *
     * @param view published control state
     * @param self instance and incarnation
     * @return the record, or empty if none applies to this incarnation
     */
    public static Optional<ConfigRecord> find(ControlView view, InstanceRef self) {
        return view.findRecord(recordKey(self))
                .filter(
                        record -> {
                            long incarnation = incarnationOf(record);
                            return incarnation == 0 || incarnation == self.incarnation();
                        });
    }

    /**
     * Submits the record. It names the incarnation, so that a record that is never deleted does not
     * stop the next incarnation.
     *
     * @param self own incarnation
     */
    public void submit(InstanceRef self) {
        long expectedRevision =
                view.get().findRecord(recordKey(self)).map(ConfigRecord::revision).orElse(0L);
        ObjectNode body =
                JsonNodeFactory.instance.objectNode().put("incarnation", self.incarnation());
        control.submit(
                        new ControlCommand.PutRecord(
                                UUID.randomUUID().toString(),
                                "instance:" + self.id(),
                                recordKey(self),
                                expectedRevision,
                                1,
                                1,
                                body,
                                false),
                        timeoutMs)
                .whenComplete(
                        (result, failure) ->
                                LOG.info(
                                        "SAP1307",
                                        "Submission of the planned stop of this instance has completed",
                                        "result",
                                        failure == null ? result : failure));
    }

    /**
     * Deletes the record after the stop.
     *
     * @param self own incarnation, empty if the instance never joined
     * @return future that completes normally when the record is deleted or the attempt has failed
     */
    public CompletableFuture<Void> delete(Optional<InstanceRef> self) {
        return self.flatMap(ref -> view.get().findRecord(recordKey(ref)))
                .filter(record -> incarnationOf(record) != 0)
                .map(this::delete)
                .orElse(CompletableFuture.completedFuture(null));
    }

    /**
     * Deletes the record if it names an earlier incarnation.
     *
     * @param self own incarnation
     */
    public void deleteObsolete(InstanceRef self) {
        view.get()
                .findRecord(recordKey(self))
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

    private static RecordKey recordKey(InstanceRef self) {
        return new RecordKey(STOP_KIND, StopTarget.INSTANCE.namePrefix() + self.id());
    }

    private static long incarnationOf(ConfigRecord record) {
        return record.body().path("incarnation").asLong(0);
    }
}
