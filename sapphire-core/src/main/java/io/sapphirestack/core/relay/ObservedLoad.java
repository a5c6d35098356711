package io.sapphirestack.core.relay;

import java.util.OptionalInt;

/**
 * Latest load that an endpoint reported to this instance.
 *
 * @param running requests that the endpoint ran
 * @param waiting requests that waited at the endpoint
 * @param slots requests that it can run at the same time, at least 1
 * @param reportedPacePercent service time in percent of the usual one, empty if not reported
 * @param ageMs time since the report arrived, in milliseconds, at least 0
 */
public record ObservedLoad(
        int running, int waiting, int slots, OptionalInt reportedPacePercent, long ageMs) {

    /** Pace of an endpoint that works at its usual speed, in percent. */
    public static final int USUAL_PACE_PERCENT = 100;

    /** Returns the service time in percent of the usual one; 100 if the endpoint reports none. */
    public int pacePercent() {
        return reportedPacePercent.orElse(USUAL_PACE_PERCENT);
    }

    /** Returns the service time relative to the usual one; 1 if the endpoint reports none. */
    public double paceFactor() {
        return (double) pacePercent() / USUAL_PACE_PERCENT;
    }
}
