package io.sapphirestack.daemon;

import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.objective.Objective;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.runtime.generation.GenerationMetrics;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/** Passes the counters of the generation path to the metrics and the objectives. Thread-safe. */
final class RecordedGenerationMetrics implements GenerationMetrics {

    private static final EventLog LOG = EventLog.of(RecordedGenerationMetrics.class);

    private final Metrics metrics;
    private final BurnRecorder burn;
    private final RecordCatalog catalog;

    RecordedGenerationMetrics(Metrics metrics, BurnRecorder burn, RecordCatalog catalog) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.burn = Objects.requireNonNull(burn, "burn");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
    }

    @Override
    public void recordAttempt(AttemptReason reason) {
        metrics.recordAttempt(reason.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void recordReattachment(boolean afterTakeover) {
        metrics.recordReattachment(afterTakeover);
    }

    @Override
    public void recordResume(long latencyMs) {
        metrics.recordResume(latencyMs);
        // The generation path does not tell the service, so the objective is counted only where it
        // is certain.
        Optional<String> service = catalog.onlyEngineService();
        Optional<ServiceSpec> spec = service.flatMap(catalog::service);
        if (spec.isPresent()) {
            boolean good = latencyMs <= spec.get().objectives().resumeMs();
            if (!good) {
                LOG.warn("SAP1301", "An output was interrupted for long", "latencyMs", latencyMs);
            }
            burn.record(service.get(), Objective.RESUME, good, "SAP1301");
        }
    }

    @Override
    public void recordRecomputedTokens(long tokens) {
        metrics.recordRecomputedTokens(tokens);
    }

    @Override
    public void recordCommittedTokens(long tokens) {
        metrics.recordCommittedTokens(tokens);
    }

    @Override
    public void recordTakeover() {
        metrics.recordTakeover();
    }
}
