package io.sapphirestack.core.objective;

/**
 * Windows over which the burn rate is computed. A fast alert needs a high rate over an hour and
 * still over five minutes, a slow one over six hours and still over thirty minutes, so that an
 * alert ends soon after its cause.
 */
public enum BurnWindow {
    /** Confirms that a fast burn goes on. */
    FIVE_MINUTES(300_000),
    /** Confirms that a slow burn goes on. */
    THIRTY_MINUTES(1_800_000),
    /** Detects a fast burn. */
    ONE_HOUR(3_600_000),
    /** Detects a slow burn; also the window of the error budget. */
    SIX_HOURS(21_600_000);

    private final long lengthMs;

    BurnWindow(long lengthMs) {
        this.lengthMs = lengthMs;
    }

    /** Returns the length in milliseconds. */
    public long lengthMs() {
        return lengthMs;
    }
}
