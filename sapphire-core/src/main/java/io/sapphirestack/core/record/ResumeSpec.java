package io.sapphirestack.core.record;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * Failure detection and resume policy of an engine service.
 *
 * @param policy what to do when the engine is suspected
 * @param silenceMs silence on a stream after which the engine is probed, in milliseconds
 * @param probeTimeoutMs timeout of one probe in milliseconds
 * @param suspectWaitMs how long {@link ResumePolicy#RESOURCE} keeps probing, in milliseconds, at
 *     most 3,500
 * @param stallMs keep-alives without tokens for this long count as slow, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ResumeSpec(
        ResumePolicy policy,
        long silenceMs,
        long probeTimeoutMs,
        long suspectWaitMs,
        long stallMs) {

    /** Policy used when a service record names none. */
    public static final ResumeSpec DEFAULT =
            new ResumeSpec(ResumePolicy.LATENCY, 600, 300, 2_500, 10_000);

    /** Longest suspicion that keeps the output within 5 s of a loss. */
    public static final long MAX_SUSPECT_WAIT_MS = 3_500;

    /** Checks the components; the three detection times together must stay under 4.5 s. */
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
