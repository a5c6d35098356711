package io.sapphirestack.runtime.metrics;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Metrics of an instance. Thread-safe; recording takes no lock. Labels never contain client
 * accounts or identifiers, so that the number of time series stays bounded.
 */
public final class Metrics {

    private static final double[] LATENCY_BUCKETS_S = {
        0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.35, 0.55, 1, 2, 3.5, 5, 10, 30
    };
    private static final double MS_PER_S = 1_000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Counter requests =
            counter(
                    "sapphire_http_requests",
                    "HTTP requests by route and status.",
                    "route",
                    "status");
    private final Counter refusals =
            counter("sapphire_refusals", "Refused requests by code.", "code", "ran");
    private final Counter deliveredTokens =
            counter("sapphire_delivered_tokens", "Tokens written to callers.");
    private final Counter attempts =
            counter("sapphire_attempts", "Attempts started on engines.", "reason");
    private final Counter urgencies =
            counter("sapphire_stream_urgency", "Stream attempts by urgency.", "urgency");
    private final Counter admissions =
            counter(
                    "sapphire_admissions",
                    "Decisions about plain requests of services that report their load.",
                    "decision");
    private final Counter reattachments =
            counter("sapphire_reattachments", "Running streams attached again.", "takeover");
    private final Counter recomputedTokens =
            counter("sapphire_recomputed_tokens", "Tokens given to engines to compute again.");
    private final Counter committedTokens =
            counter("sapphire_committed_tokens", "Tokens committed by this owner.");
    private final Counter takeovers =
            counter("sapphire_takeovers", "Generations taken over from a lost owner.");
    private final Counter endpointSignals =
            counter("sapphire_endpoint_signals", "Endpoints that left or backed off.", "signal");
    private final Counter malformedSignals =
            counter("sapphire_malformed_signals", "Malformed signals of endpoints.", "field");
    private final Counter signalRefusals =
            counter(
                    "sapphire_signal_refusals",
                    "Requests refused because all endpoints are leaving or in back-off.");
    private final Counter replacedChoices =
            counter(
                    "sapphire_replaced_choices",
                    "Requests whose endpoint began to leave or back off before they were sent.");
    private final Histogram requestSeconds =
            histogram("sapphire_http_request_seconds", "Time to the end of the answer.", "route");
    private final Histogram resumeSeconds =
            histogram("sapphire_resume_seconds", "Time from a loss until the output goes on.");
    private final Histogram firstTokenSeconds =
            histogram("sapphire_first_token_seconds", "Time to the first token.", "service");
    private final Histogram tokenGapSeconds =
            histogram("sapphire_between_tokens_seconds", "Time between tokens.", "service");

    /** Creates the metrics of an instance, including those of the Java virtual machine. */
    public Metrics() {
        JvmMetrics.builder().register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(LATENCY_BUCKETS_S)
                .register(registry);
    }

    /**
     * Registers a gauge whose value is read when the metrics are written.
     *
     * @param name name of the metric
     * @param help description of the metric
     * @param value supplies the value; must be thread-safe and fast
     */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        Objects.requireNonNull(value, "value");
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Counts an HTTP request.
     *
     * @param route path pattern of the request
     * @param status HTTP status of the response
     * @param latencyMs time from the request to the end of the response in milliseconds
     */
    public void recordRequest(String route, int status, double latencyMs) {
        requests.labelValues(route, Integer.toString(status)).inc();
        requestSeconds.labelValues(route).observe(latencyMs / MS_PER_S);
    }

    /**
     * Counts a refusal.
     *
     * @param code error code of the refusal
     * @param executionState whether the request was executed, as a label value
     */
    public void recordRefusal(String code, String executionState) {
        refusals.labelValues(code, executionState).inc();
    }

    /**
     * Records the time to the first token of a generation.
     *
     * @param service name of the engine service
     * @param latencyMs time from the request to the first token in milliseconds
     */
    public void recordFirstToken(String service, double latencyMs) {
        firstTokenSeconds.labelValues(service).observe(latencyMs / MS_PER_S);
    }

    /**
     * Records tokens that were written to a caller in one batch.
     *
     * @param service name of the engine service
     * @param count number of tokens
     * @param gapMs time since the previous batch in milliseconds
     */
    public void recordTokens(String service, int count, double gapMs) {
        deliveredTokens.inc(count);
        tokenGapSeconds.labelValues(service).observe(gapMs / MS_PER_S);
    }

    /**
     * Counts an attempt on an engine.
     *
     * @param reason reason for starting it, as a label value
     */
    public void recordAttempt(String reason) {
        attempts.labelValues(reason).inc();
    }

    /**
     * Counts a stream attempt that tells its engine an urgency.
     *
     * @param urgency urgency from 0, the most urgent, to 9
     */
    public void recordUrgency(int urgency) {
        urgencies.labelValues(Integer.toString(urgency)).inc();
    }

    /**
     * Counts a decision about a plain request of a service whose endpoints report their load.
     *
     * @param decision decision, as a label value
     */
    public void recordAdmission(String decision) {
        admissions.labelValues(decision).inc();
    }

    /**
     * Counts a re-attachment to a running stream.
     *
     * @param afterTakeover whether it follows a change of owner
     */
    public void recordReattachment(boolean afterTakeover) {
        reattachments.labelValues(Boolean.toString(afterTakeover)).inc();
    }

    /**
     * Records how long the output of a generation was interrupted.
     *
     * @param latencyMs time from the failure to the next token in milliseconds
     */
    public void recordResume(long latencyMs) {
        resumeSeconds.observe(latencyMs / MS_PER_S);
    }

    /**
     * Counts tokens that an engine had to compute again.
     *
     * @param count number of tokens
     */
    public void recordRecomputedTokens(long count) {
        recomputedTokens.inc(count);
    }

    /**
     * Counts tokens that were committed while this instance was the owner.
     *
     * @param count number of tokens
     */
    public void recordCommittedTokens(long count) {
        committedTokens.inc(count);
    }

    /** Counts a generation of which this instance became the owner after its owner failed. */
    public void recordTakeover() {
        takeovers.inc();
    }

    /**
     * Counts an endpoint process that began to leave or a back-off that began.
     *
     * @param signal kind of signal, as a label value
     */
    public void recordEndpointSignal(String signal) {
        endpointSignals.labelValues(signal).inc();
    }

    /**
     * Counts a malformed signal of an endpoint.
     *
     * @param field field of the response, as a label value
     */
    public void recordMalformedSignal(String field) {
        malformedSignals.labelValues(field).inc();
    }

    /** Counts a request that was refused because all endpoints are leaving or in back-off. */
    public void recordSignalRefusal() {
        signalRefusals.inc();
    }

    /** Counts a request whose endpoint began to leave or back off before it was sent. */
    public void recordReplacedChoice() {
        replacedChoices.inc();
    }

    /**
     * Writes all metrics in the Prometheus text format, encoded in UTF-8.
     *
     * @param out stream to write to; it is not closed
     * @throws IOException if writing fails
     */
    public void write(OutputStream out) throws IOException {
        writer.write(out, registry.scrape(), EscapingScheme.DEFAULT);
    }

    /** Returns the media type of the text that {@link #write} produces. */
    public String contentType() {
        return writer.getContentType();
    }
}
