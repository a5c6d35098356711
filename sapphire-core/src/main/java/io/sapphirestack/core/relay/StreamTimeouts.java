package io.sapphirestack.core.relay;

/**
 * Inactivity timeouts of a stream: the time without data after which its endpoint is probed, and
 * the time after which the stream moves to another endpoint.
 *
 * <p>A healthy engine pauses its streams during the prefill of other prompts, so a pause alone is a
 * weak sign of failure and only triggers a probe. The stream moves if the probe fails, or if no
 * data arrives for most of the target gap between events.
 *
 * @param probeAfterMs time without data after which the endpoint is probed, in milliseconds
 * @param moveAfterMs time without data after which the stream moves even if the probe succeeded, in
 *     milliseconds; {@link Long#MAX_VALUE} if only a failed probe moves it
 */
public record StreamTimeouts(long probeAfterMs, long moveAfterMs) {

    /** Fraction of the target gap after which the endpoint is probed. */
    static final double PROBE_GAP_FRACTION = 0.22;

    /** Fraction of the target gap after which a stream with a standby copy moves. */
    static final double MOVE_GAP_FRACTION = 0.65;

    /**
     * Time without data before the first event, usually during prefill, after which a probe is due,
     * in milliseconds.
     */
    static final long FIRST_EVENT_PROBE_AFTER_MS = 400;

    /** Target gap between events of a stream whose route does not set one, in milliseconds. */
    static final long DEFAULT_GAP_TARGET_MS = 1_000;

    /** Multiple of the target gap after which a stream without a standby copy moves. */
    static final long MOVE_GAPS_WITHOUT_COPY = 3;

    /**
     * Returns the timeouts before the first event. Only a failed probe moves the request, because
     * waiting in the queue of the engine is normal.
     *
     * @return timeouts that never move a stream without a failed probe
     */
    public static StreamTimeouts beforeFirstEvent() {
        return new StreamTimeouts(FIRST_EVENT_PROBE_AFTER_MS, Long.MAX_VALUE);
    }

    /**
     * Returns the timeouts after a stream has moved and before its first event from the new
     * endpoint.
     *
     * @param gapTargetMs target gap between events in milliseconds, 0 if the route does not set one
     * @param fromCopy whether the endpoint continues from a standby copy and needs little prefill
     * @return timeouts
     */
    public static StreamTimeouts afterMove(long gapTargetMs, boolean fromCopy) {
        StreamTimeouts regular = betweenEvents(gapTargetMs, false);
        return fromCopy ? regular : new StreamTimeouts(regular.probeAfterMs(), Long.MAX_VALUE);
    }

    /**
     * Returns the timeouts between two events.
     *
     * @param gapTargetMs target gap between events in milliseconds, 0 if the route does not set one
     * @param hasStandby whether another endpoint holds a standby copy
     * @return timeouts
     */
    public static StreamTimeouts betweenEvents(long gapTargetMs, boolean hasStandby) {
        long gapMs = gapTargetMs > 0 ? gapTargetMs : DEFAULT_GAP_TARGET_MS;
        long moveMs =
                hasStandby ? (long) (gapMs * MOVE_GAP_FRACTION) : gapMs * MOVE_GAPS_WITHOUT_COPY;
        return new StreamTimeouts((long) (gapMs * PROBE_GAP_FRACTION), moveMs);
    }
}
