package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficPlanException;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.RecordNumberReader;
import io.sapphirestack.runtime.control.RecordReader;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Submits traffic plans of the operator to the control log and caches the newest one in decoded
 * form. Thread-safe.
 */
public final class TrafficPlanStore {

    /** Key of the control record that holds the newest plan. */
    static final RecordKey RECORD_KEY = new RecordKey("traffic-plan", "current");

    private static final EventLog LOG = EventLog.of(TrafficPlanStore.class);

    private final ControlClient control;
    private final RecordReader reader;
    private final RecordNumberReader numbers;
    private final Supplier<ControlView> view;
    private final Decoder decoder;
    private final Executor decoderThread;
    private final AtomicBoolean decodeQueued = new AtomicBoolean();
    private volatile Decoded decoded = new Decoded(0, Optional.empty());

    /** Where the text of a traffic plan comes from. */
    public enum Origin {

        /** An operator submits it; what is ambiguous is rejected. */
        SUBMITTED,

        /** The control log holds it, maybe from an earlier release; it is read as it was then. */
        STORED
    }

    /** Parses the text of a traffic plan. */
    @FunctionalInterface
    public interface Decoder {

        /**
         * Parses a plan.
         *
         * @param text text as the operator sent it
         * @param origin where the text comes from
         * @return validated plan
         * @throws TrafficPlanException if the text is not a valid plan
         */
        TrafficPlan decode(String text, Origin origin) throws TrafficPlanException;
    }

    private record Decoded(long revision, Optional<TrafficPlan> plan) {}

    /**
     * Creates a store.
     *
     * @param control client that submits plans to the control log
     * @param reader reads the stored plan
     * @param numbers reads the version of the stored plan
     * @param view returns the control state that this instance has applied
     * @param decoder parses the text of plans
     * @param decoderThread runs the decoding of each plan but the first one; one task at a time
     */
    public TrafficPlanStore(
            ControlClient control,
            RecordReader reader,
            RecordNumberReader numbers,
            Supplier<ControlView> view,
            Decoder decoder,
            Executor decoderThread) {
        this.control = Objects.requireNonNull(control, "control");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.numbers = Objects.requireNonNull(numbers, "numbers");
        this.view = Objects.requireNonNull(view, "view");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.decoderThread = Objects.requireNonNull(decoderThread, "decoderThread");
    }

    /**
     * Returns the newest valid plan that this instance has decoded, empty if there is none yet.
     * Later calls never return an older plan. Only the first plan is decoded by the caller: a large
     * one takes tenths of a second, in which requests go on with the plan before.
     */
    public Optional<TrafficPlan> current() {
        if (decoded.plan().isEmpty()) {
            decodeNewest();
        } else {
            refresh();
        }
        return decoded.plan();
    }

    /** Decodes the newest plan in the background, if it is not decoded yet. */
    public void refresh() {
        if (newerRecord().isPresent() && decodeQueued.compareAndSet(false, true)) {
            decoderThread.execute(
                    () -> {
                        decodeQueued.set(false);
                        decodeNewest();
                    });
        }
    }

    private Optional<ConfigRecord> newerRecord() {
        return view.get()
                .findRecord(RECORD_KEY)
                .filter(record -> record.revision() > decoded.revision());
    }

    private synchronized void decodeNewest() {
        newerRecord().ifPresent(this::decode);
    }

    private void decode(ConfigRecord record) {
        Optional<TrafficPlan> plan = decoded.plan();
        try {
            plan = Optional.of(decoder.decode(textOf(record), Origin.STORED));
            LOG.info(
                    "SAP1920",
                    "A traffic plan takes effect",
                    "version",
                    plan.get().version(),
                    "revision",
                    record.revision());
        } catch (TrafficPlanException | IOException e) {
            LOG.error("SAP1921", e, "A stored traffic plan is invalid and is ignored");
        }
        decoded = new Decoded(record.revision(), plan);
    }

    /** Returns the names of the services of the plan that was decoded last; none without a plan. */
    Set<String> serviceNames() {
        return decoded.plan().map(TrafficPlan::serviceNames).orElse(Set.of());
    }

    /**
     * Submits a plan. A plan whose version is not above that of the stored one is ignored. A read
     * runs beside the submission: an operator repeats a plan after a second without a response, and
     * a plan that is stored already must not wait for another write of a slow disk.
     *
     * @param text text as the operator sent it
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return completes when this plan or a newer one is durable; fails if that cannot be confirmed
     * @throws TrafficPlanException if the text is not a valid plan
     */
    public CompletableFuture<Void> submit(String text, long timeoutMs) throws TrafficPlanException {
        TrafficPlan plan = decoder.decode(text, Origin.SUBMITTED);
        CompletableFuture<Void> done = new CompletableFuture<>();
        // A read that fails decides nothing; the result is then that of the submission.
        numbers.readNumber(RECORD_KEY, timeoutMs)
                .thenAccept(
                        stored -> {
                            if (stored.orElse(0) >= plan.version()) {
                                done.complete(null);
                            }
                        });
        control.submit(
                        new ControlCommand.PutNewest(
                                "operator", RECORD_KEY, plan.version(), RecordContent.encode(text)),
                        timeoutMs)
                .whenComplete((result, failure) -> onSubmitted(plan, result, failure, done));
        return done;
    }

    private static void onSubmitted(
            TrafficPlan plan,
            ControlResult result,
            Throwable failure,
            CompletableFuture<Void> done) {
        if (failure != null) {
            done.completeExceptionally(failure);
            return;
        }
        LOG.info(
                "SAP1922",
                "A traffic plan was submitted",
                "version",
                plan.version(),
                "result",
                result);
        done.complete(null);
    }

    /**
     * Reads the newest plan by a linearizable read. The text is sent by another instance only if
     * this one does not hold it yet.
     *
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return text as the operator sent it, empty if there is none; fails if the newest plan cannot
     *     be confirmed
     */
    public CompletableFuture<Optional<String>> readNewest(long timeoutMs) {
        return numbers.readNumber(RECORD_KEY, timeoutMs)
                .thenCompose(
                        newest -> {
                            Optional<ConfigRecord> held = view.get().findRecord(RECORD_KEY);
                            boolean isHeld =
                                    RecordContent.numberOf(held).orElse(0) >= newest.orElse(0);
                            return isHeld
                                    ? CompletableFuture.completedFuture(held)
                                    : reader.readRecord(RECORD_KEY, timeoutMs);
                        })
                .thenApply(record -> record.map(TrafficPlanStore::readText));
    }

    private static String textOf(ConfigRecord record) throws IOException {
        return RecordContent.decode(record.body().path(ControlState.CONTENT_FIELD));
    }

    private static String readText(ConfigRecord record) {
        try {
            return textOf(record);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the stored traffic plan", e);
        }
    }
}
