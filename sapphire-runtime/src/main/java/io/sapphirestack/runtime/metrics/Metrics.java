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
 * Metrics of one instance. Thread-safe; recording takes no lock. Labels never carry client accounts
 * or identifiers, so that the number of series stays bounded.
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
    private final Counter recordTokens =
            counter("sapphire_delivered_tokens", "Tokens written to callers.");
    private final Counter attempts =
            counter("sapphire_attempts", "Attempts started on engines.", "reason");
    private final Counter reattachments =
            counter("sapphire_reattachments", "Running streams attached again.", "takeover");
    private final Counter recordRecomputedTokens =
            counter("sapphire_recomputed_tokens", "Tokens given to engines to compute again.");
    private final Counter recordCommittedTokens =
            counter("sapphire_committed_tokens", "Tokens committed by this owner.");
    private final Counter takeovers =
            counter("sapphire_takeovers", "Generations taken over from a lost owner.");
    private final Histogram requestSeconds =
            histogram("sapphire_http_request_seconds", "Time to the end of the answer.", "route");
    private final Histogram resumeSeconds =
            histogram("sapphire_resume_seconds", "Time from a loss until the output goes on.");
    private final Histogram firstTokenSeconds =
            histogram("sapphire_first_token_seconds", "Time to the first token.", "service");
    private final Histogram tokenGapSeconds =
            histogram("sapphire_between_tokens_seconds", "Time between tokens.", "service");

    /** Creates the metrics of an instance, with those of its virtual machine. */
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
     * Adds a value that is read when the metrics are written.
     *
     * @param name name of the metric
     * @param help explanation
     * @param value reads the value; thread-safe and quick
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
     * @param route pattern of the path
     * @param status HTTP status
     * @param latencyMs time to the end of the answer in milliseconds
     */
    public void recordRequest(String route, int status, double latencyMs) {
        requests.labelValues(route, Integer.toString(status)).inc();
        requestSeconds.labelValues(route).observe(latencyMs / MS_PER_S);
    }

    /**
     * Counts a refusal.
     *
     * @param code stable code
     * @param ran whether the work was executed
     */
    public void recordRefusal(String code, String ran) {
        refusals.labelValues(code, ran).inc();
    }

    /**
     * Records the time to the first token of a generation.
     *
     * @param service name of the engine service
     * @param latencyMs time since the request in milliseconds
     */
    public void recordFirstToken(String service, double latencyMs) {
        firstTokenSeconds.labelValues(service).observe(latencyMs / MS_PER_S);
    }

    /**
     * Records tokens that were written to a caller together.
     *
     * @param service name of the engine service
     * @param count number of tokens
     * @param gapMs time since the tokens before in milliseconds
     */
    public void recordTokens(String service, int count, double gapMs) {
        recordTokens.inc(count);
        tokenGapSeconds.labelValues(service).observe(gapMs / MS_PER_S);
    }

    /**
     * Counts an attempt on an engine.
     *
     * @param reason why it was started
     */
    public void recordAttempt(String reason) {
        attempts.labelValues(reason).inc();
    }

    /**
     * Counts a running stream that was attached again.
     *
     * @param afterTakeover whether it follows a change of the owner
     */
    public void recordReattachment(boolean afterTakeover) {
        reattachments.labelValues(Boolean.toString(afterTakeover)).inc();
    }

    /**
     * Records how long an output was interrupted.
     *
     * @param latencyMs time from the loss to the next token in milliseconds
     */
    public void recordResume(long latencyMs) {
        resumeSeconds.observe(latencyMs / MS_PER_S);
    }

    /**
     * Counts tokens that an engine computes again.
     *
     * @param count number of tokens
     */
    public void recordRecomputedTokens(long count) {
        recordRecomputedTokens.inc(count);
    }

    /**
     * Counts tokens that were committed here.
     *
     * @param count number of tokens
     */
    public void recordCommittedTokens(long count) {
        recordCommittedTokens.inc(count);
    }

    /** Counts a generation that was taken over. */
    public void recordTakeover() {
        takeovers.inc();
    }

    /**
     * Writes all metrics in Prometheus text format.
     *
     * @param out receives the text in UTF-8
     * @throws IOException if it cannot be written
     */
    public void write(OutputStream out) throws IOException {
        writer.write(out, registry.scrape(), EscapingScheme.DEFAULT);
    }

    /** Returns the media type of {@link #write}. */
    public String contentType() {
        return writer.getContentType();
    }
}
