package io.sapphirestack.runtime.http;

import io.sapphirestack.core.objective.BurnRecorder;
import io.sapphirestack.core.objective.Objective;
import io.sapphirestack.runtime.metrics.EventLog;

/** Counts events against objectives, and logs the reason of each bad one. Thread-safe. */
final class ObjectiveEvents {

    private static final EventLog LOG = EventLog.of(ObjectiveEvents.class);

    private final BurnRecorder recorder;

    ObjectiveEvents(BurnRecorder recorder) {
        this.recorder = recorder;
    }

    void readAnswered(String service, long latencyMs, long objectiveMs) {
        boolean good = latencyMs <= objectiveMs;
        if (!good) {
            LOG.debug("SAP1210", "A read was slow", "service", service, "latencyMs", latencyMs);
        }
        recorder.record(service, Objective.READ_LATENCY, good, "SAP1210");
    }

    void readFailed(String service) {
        LOG.debug("SAP1211", "A read got no answer", "service", service);
        recorder.record(service, Objective.READ_LATENCY, false, "SAP1211");
    }

    void orderAnswered(String service) {
        recorder.record(service, Objective.ORDER_OUTCOME, true, "");
    }

    void orderUnknown(String service) {
        LOG.debug("SAP1212", "An order has no known outcome", "service", service);
        recorder.record(service, Objective.ORDER_OUTCOME, false, "SAP1212");
    }

    void firstToken(String service, long latencyMs, long objectiveMs) {
        boolean good = latencyMs <= objectiveMs;
        if (!good) {
            LOG.debug(
                    "SAP1213",
                    "The first token came late",
                    "service",
                    service,
                    "latencyMs",
                    latencyMs);
        }
        recorder.record(service, Objective.FIRST_TOKEN, good, "SAP1213");
    }

    void betweenTokens(String service, long gapMs, long objectiveMs) {
        boolean good = gapMs <= objectiveMs;
        if (!good) {
            LOG.debug("SAP1214", "A token came late", "service", service, "gapMs", gapMs);
        }
        recorder.record(service, Objective.BETWEEN_TOKENS, good, "SAP1214");
    }
}
