package io.sapphirestack.runtime.http;

import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.objective.Objective;
import io.sapphirestack.runtime.metrics.EventLog;

/**
 * Counts events against the service-level objectives and logs each event that misses its objective.
 * Thread-safe.
 */
final class ObjectiveEventRecorder {

    private static final EventLog LOG = EventLog.of(ObjectiveEventRecorder.class);

    private final BurnRecorder recorder;

    ObjectiveEventRecorder(BurnRecorder recorder) {
        this.recorder = recorder;
    }

    void recordReadCompleted(String service, long latencyMs, long objectiveMs) {
        boolean good = latencyMs <= objectiveMs;
        if (!good) {
            LOG.debug(
                    "SAP1210",
                    "Read exceeded its latency objective",
                    "service",
                    service,
                    "latencyMs",
                    latencyMs);
        }
        recorder.record(service, Objective.READ_LATENCY, good, "SAP1210");
    }

    void recordReadFailed(String service) {
        LOG.debug("SAP1211", "Read failed", "service", service);
        recorder.record(service, Objective.READ_LATENCY, false, "SAP1211");
    }

    void recordOrderCompleted(String service) {
        recorder.record(service, Objective.ORDER_OUTCOME, true, "");
    }

    void recordOrderOutcomeUnknown(String service) {
        LOG.debug("SAP1212", "Outcome of the order is unknown", "service", service);
        recorder.record(service, Objective.ORDER_OUTCOME, false, "SAP1212");
    }

    void recordFirstToken(String service, long latencyMs, long objectiveMs) {
        boolean good = latencyMs <= objectiveMs;
        if (!good) {
            LOG.debug(
                    "SAP1213",
                    "First token exceeded its latency objective",
                    "service",
                    service,
                    "latencyMs",
                    latencyMs);
        }
        recorder.record(service, Objective.FIRST_TOKEN, good, "SAP1213");
    }

    void recordTokenGap(String service, long gapMs, long objectiveMs) {
        boolean good = gapMs <= objectiveMs;
        if (!good) {
            LOG.debug(
                    "SAP1214",
                    "Gap between tokens exceeded its objective",
                    "service",
                    service,
                    "gapMs",
                    gapMs);
        }
        recorder.record(service, Objective.BETWEEN_TOKENS, good, "SAP1214");
    }
}
