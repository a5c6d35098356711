package io.sapphirestack.core.record;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * Failure detection and resume policy of an engine service.
 *
 * @param policy policy for a suspected engine
 * @param silenceMs time without data on a stream after which the engine is probed, in milliseconds,
 *     200 to 600
 * @param probeTimeoutMs timeout of one probe in milliseconds, 50 to 300
 * @param suspectWaitMs time for which {@link ResumePolicy#RESOURCE} continues to probe a suspected
 *     engine, in milliseconds, 0 to 3,500
 * @param stallMs time with keep-alives but without tokens after which the engine is stalled, in
 *     milliseconds, 1,000 to 600,000
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ResumeSpec(
        ResumePolicy policy,
        long silenceMs,
        long probeTimeoutMs,
        long suspectWaitMs,
        long stallMs) {

    /** Policy of a service whose record has none. */
    public static final ResumeSpec DEFAULT =
            new ResumeSpec(ResumePolicy.LATENCY, 600, 300, 2_500, 10_000);

    /**
     * Maximum of {@link #suspectWaitMs()} in milliseconds. With it the output still resumes within
     * 5 s of a failure.
     */
    public static final long MAX_SUSPECT_WAIT_MS = 3_500;

    /**
     * Checks the ranges of the components. Their maximums keep the sum of {@code silenceMs}, {@code
     * probeTimeoutMs} and {@code suspectWaitMs} below 4.5 s.
     */
    public ResumeSpec {
        Objects.requireNonNull(policy, "policy");
        requireBetween("silenceMs", silenceMs, 200, 600);
        requireBetween("probeTimeoutMs", probeTimeoutMs, 50, 300);
        requireBetween("suspectWaitMs", suspectWaitMs, 0, MAX_SUSPECT_WAIT_MS);
        requireBetween("stallMs", stallMs, 1_000, 600_000);
    }

    private static void requireBetween(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    field + " must be between " + min + " and " + max + " but is " + value);
        }
    }
}
