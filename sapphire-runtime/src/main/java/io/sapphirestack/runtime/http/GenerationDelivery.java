package io.sapphirestack.runtime.http;

import io.sapphirestack.core.time.MillisClock;

/**
 * Delivery of one generation to one caller, independent of the response format.
 *
 * @param reader reads the tokens of the generation
 * @param model model name from the request
 * @param latencyRecorder records the latency of delivered tokens
 * @param clock monotonic clock
 * @param deadlineMs deadline of the request in milliseconds on {@code clock}; {@link
 *     Long#MAX_VALUE} for none
 */
record GenerationDelivery(
        TokenReader reader,
        String model,
        TokenLatencyRecorder latencyRecorder,
        MillisClock clock,
        long deadlineMs) {

    /** Returns whether the deadline of the request has passed. */
    boolean isDeadlinePassed() {
        return clock.nowMs() >= deadlineMs;
    }
}
