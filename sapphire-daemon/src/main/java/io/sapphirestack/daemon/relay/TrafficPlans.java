package io.sapphirestack.daemon.relay;

import com.fasterxml.jackson.databind.node.TextNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficPlanException;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Traffic plans of the operator: submits them to the control log and keeps the newest one decoded.
 * Thread-safe.
 */
public final class TrafficPlans {

    /** Record that holds the newest plan. */
    static final RecordKey KEY = new RecordKey("traffic-plan", "current");

    private static final EventLog LOG = EventLog.of(TrafficPlans.class);

    private final ControlClient control;
    private final Supplier<ControlView> view;
    private final Decoder decoder;
    private volatile Decoded decoded = new Decoded(0, Optional.empty());

    /** Reads the text of a plan. */
    @FunctionalInterface
    public interface Decoder {

        /**
         * Reads a plan.
         *
         * @param text text as the operator sent it
         * @return checked plan
         * @throws TrafficPlanException if the text is no valid plan
         */
        TrafficPlan decode(String text) throws TrafficPlanException;
    }

    private record Decoded(long revision, Optional<TrafficPlan> plan) {}

    /**
     * Creates the access to plans.
     *
     * @param control submits plans
     * @param view returns the published state
     * @param decoder reads the text of plans
     */
    public TrafficPlans(ControlClient control, Supplier<ControlView> view, Decoder decoder) {
        this.control = Objects.requireNonNull(control, "control");
        this.view = Objects.requireNonNull(view, "view");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
    }

    /** Returns the newest plan that this instance knows; it is never older than an earlier one. */
    public Optional<TrafficPlan> current() {
        Optional<ConfigRecord> record = view.get().findRecord(KEY);
        Decoded last = decoded;
        if (record.isEmpty() || record.get().revision() <= last.revision()) {
            return last.plan();
        }
        return decode(record.get());
    }

    private synchronized Optional<TrafficPlan> decode(ConfigRecord record) {
        if (record.revision() <= decoded.revision()) {
            return decoded.plan();
        }
        Optional<TrafficPlan> plan = decoded.plan();
        try {
            plan = Optional.of(decoder.decode(textOf(record)));
            LOG.info(
                    "SAP1920",
                    "A traffic plan is in force",
                    "version",
                    plan.get().version(),
                    "revision",
                    record.revision());
        } catch (TrafficPlanException e) {
            LOG.error("SAP1921", e, "An accepted traffic plan cannot be read and is not used");
        }
        decoded = new Decoded(record.revision(), plan);
        return plan;
    }

    /**
     * Submits a plan; a plan that is not newer than the stored one changes nothing.
     *
     * @param text text as the operator sent it
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return completes when the plan, or a newer one, is durable; fails if that is not known
     * @throws TrafficPlanException if the text is no valid plan
     */
    public CompletableFuture<Void> submit(String text, long timeoutMs) throws TrafficPlanException {
        TrafficPlan plan = decoder.decode(text);
        return control.submit(
                        new ControlCommand.PutNewest(
                                "operator", KEY, plan.version(), TextNode.valueOf(text)),
                        timeoutMs)
                .thenAccept(
                        result ->
                                LOG.info(
                                        "SAP1922",
                                        "A traffic plan was submitted",
                                        "version",
                                        plan.version(),
                                        "result",
                                        result));
    }

    /**
     * Reads the newest plan in log order.
     *
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return text as the operator sent it, empty if there is none; fails if the newest plan is not
     *     known for certain
     */
    public CompletableFuture<Optional<String>> readNewest(long timeoutMs) {
        return control.submit(new ControlCommand.ReadRecord(KEY), timeoutMs)
                .thenApply(
                        result ->
                                ((ControlResult.RecordHistory) result)
                                        .versions().stream().findFirst().map(TrafficPlans::textOf));
    }

    private static String textOf(ConfigRecord record) {
        return record.body().path(ControlState.CONTENT_FIELD).asText();
    }
}
