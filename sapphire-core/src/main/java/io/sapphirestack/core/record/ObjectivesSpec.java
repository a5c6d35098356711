package io.sapphirestack.core.record;

/**
 * Service-level objectives; each latency objective holds for {@code target} of all events.
 *
 * @param target share of good events, between 0 and 1, exclusive
 * @param readLatencyMs latency of a read in milliseconds
 * @param firstTokenMs time to the first token in milliseconds
 * @param betweenTokensMs time between two tokens in milliseconds
 * @param resumeMs resume latency in milliseconds
 */
public record ObjectivesSpec(
        double target, long readLatencyMs, long firstTokenMs, long betweenTokensMs, long resumeMs) {

    /** Objectives used when a service record names none. */
    public static final ObjectivesSpec DEFAULT = new ObjectivesSpec(0.95, 50, 550, 35, 5_000);

    /** Checks the components. */
    public ObjectivesSpec {
        if (!(target > 0 && target < 1)) {
            throw new IllegalArgumentException("target must be between 0 and 1 but is " + target);
        }
    }
}
