package io.sapphirestack.core.objective;

/**
 * Windows over which the burn rate is computed. A fast alert requires a high rate over one hour and
 * over five minutes, a slow alert over six hours and over thirty minutes. The short windows end an
 * alert soon after its cause is gone.
 */
public enum BurnWindow {
    /** Confirms that a fast burn continues. */
    FIVE_MINUTES(300_000),
    /** Confirms that a slow burn continues. */
    THIRTY_MINUTES(1_800_000),
    /** Detects a fast burn. */
    ONE_HOUR(3_600_000),
    /** Detects a slow burn; also the window of the error budget. */
    SIX_HOURS(21_600_000);

    private final long lengthMs;

    BurnWindow(long lengthMs) {
        this.lengthMs = lengthMs;
    }

    /** Returns the length of the window in milliseconds. */
    public long lengthMs() {
        return lengthMs;
    }
}
