package io.sapphirestack.runtime.http;

import io.sapphirestack.core.time.MillisClock;

/**
 * Generation that is delivered to one caller, in whatever form.
 *
 * @param reader reads its tokens
 * @param model model that the caller named
 * @param observer told of delivered tokens
 * @param clock monotonic clock
 * @param deadlineMs when the caller's time is over, on that clock
 */
record AnswerSource(
        TokenReader reader,
        String model,
        StreamObserver observer,
        MillisClock clock,
        long deadlineMs) {

    /** Returns whether the caller's time is over. */
    boolean isOverdue() {
        return clock.nowMs() >= deadlineMs;
    }
}
