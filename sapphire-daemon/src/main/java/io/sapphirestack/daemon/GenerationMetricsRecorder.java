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

/** Records events of generations in the metrics and in the service-level burn. Thread-safe. */
final class GenerationMetricsRecorder implements GenerationMetrics {

    private static final EventLog LOG = EventLog.of(GenerationMetricsRecorder.class);

    private final Metrics metrics;
    private final BurnRecorder burnRecorder;
    private final RecordCatalog catalog;

    GenerationMetricsRecorder(Metrics metrics, BurnRecorder burnRecorder, RecordCatalog catalog) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.burnRecorder = Objects.requireNonNull(burnRecorder, "burnRecorder");
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
        // The callback does not name the service, so the objective is recorded only if there is
        // exactly one engine service.
        Optional<String> service = catalog.singleEngineService();
        Optional<ServiceSpec> spec = service.flatMap(catalog::service);
        if (spec.isPresent()) {
            boolean objectiveMet = latencyMs <= spec.get().objectives().resumeMs();
            if (!objectiveMet) {
                LOG.warn(
                        "SAP1301",
                        "A generation was interrupted for longer than the resume objective",
                        "latencyMs",
                        latencyMs);
            }
            burnRecorder.record(service.get(), Objective.RESUME, objectiveMet, "SAP1301");
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
