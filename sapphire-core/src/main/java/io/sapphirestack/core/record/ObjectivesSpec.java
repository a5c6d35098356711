package io.sapphirestack.core.record;

/**
 * Service-level objectives. An event is good if its latency is within the limit; {@code target} is
 * the share of good events that each objective requires.
 *
 * @param target required share of good events, between 0 and 1, both exclusive
 * @param readLatencyMs limit of the latency of a read, in milliseconds
 * @param firstTokenMs limit of the time to the first token, in milliseconds
 * @param betweenTokensMs limit of the time between two consecutive tokens, in milliseconds
 * @param resumeMs limit of the latency of a resumption after a failure, in milliseconds
 */
public record ObjectivesSpec(
        double target, long readLatencyMs, long firstTokenMs, long betweenTokensMs, long resumeMs) {

    /** Objectives of a service whose record has none. */
    public static final ObjectivesSpec DEFAULT = new ObjectivesSpec(0.95, 50, 550, 35, 5_000);

    /** Checks the range of the target. */
    public ObjectivesSpec {
        if (!(target > 0 && target < 1)) {
            throw new IllegalArgumentException("target must be between 0 and 1 but is " + target);
        }
    }
}
