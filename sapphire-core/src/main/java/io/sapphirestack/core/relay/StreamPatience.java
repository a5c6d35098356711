package io.sapphirestack.core.relay;

/**
 * How long a stream may stay silent before its endpoint is examined and before it moves.
 *
 * <p>A healthy engine pauses while it reads other prompts, so silence alone is a weak sign. It only
 * starts a probe; a failed probe, or silence that uses up most of the allowed pause, moves the
 * stream.
 *
 * @param probeAfterMs silence after which a probe is due, in milliseconds
 * @param moveAfterMs silence after which the stream moves although the probe was answered
 */
public record StreamPatience(long probeAfterMs, long moveAfterMs) {

    /** Part of the allowed pause after which the endpoint is probed. */
    static final double PROBE_SHARE = 0.22;

    /** Part of the allowed pause after which a stream with a standby copy moves. */
    static final double MOVE_SHARE = 0.65;

    /** Silence before the first event, when prompts are read, after which a probe is due. */
    static final long FIRST_EVENT_PROBE_MS = 400;

    /** Pauses that are allowed for a stream whose route names none, in milliseconds. */
    static final long DEFAULT_GAP_MS = 1_000;

    /** Multiple of the allowed pause after which a stream without a standby copy moves. */
    static final long WITHOUT_COPY_GAPS = 3;

    /**
     * Returns the patience before the first event. Only an unanswered probe moves the request,
     * because waiting in the queue of the engine is normal.
     *
     * @return patience that never moves without a failed probe
     */
    public static StreamPatience beforeFirstEvent() {
        return new StreamPatience(FIRST_EVENT_PROBE_MS, Long.MAX_VALUE);
    }

    /**
     * Returns the patience after a stream has moved and before its first event there.
     *
     * @param gapTargetMs pause that is on time, 0 if the route names none
     * @param fromCopy whether the endpoint continues from a copy and has little to read
     * @return patience
     */
    public static StreamPatience afterMove(long gapTargetMs, boolean fromCopy) {
        StreamPatience usual = betweenEvents(gapTargetMs, false);
        return fromCopy ? usual : new StreamPatience(usual.probeAfterMs(), Long.MAX_VALUE);
    }

    /**
     * Returns the patience between two events.
     *
     * @param gapTargetMs pause that is on time, 0 if the route names none
     * @param hasStandby whether another endpoint holds a copy
     * @return patience
     */
    public static StreamPatience betweenEvents(long gapTargetMs, boolean hasStandby) {
        long gapMs = gapTargetMs > 0 ? gapTargetMs : DEFAULT_GAP_MS;
        long moveMs = hasStandby ? (long) (gapMs * MOVE_SHARE) : gapMs * WITHOUT_COPY_GAPS;
        return new StreamPatience((long) (gapMs * PROBE_SHARE), moveMs);
    }
}
