package io.sapphirestack.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>Implementations are thread-safe. Decision logic takes a clock as a constructor argument, so
 * that tests can control the time.
 */
@FunctionalInterface
public interface MillisClock {

    /**
     * Returns the current reading of this clock.
     *
     * @return milliseconds since an origin that depends on the clock and stays the same while the
     *     process runs
     */
    long nowMs();

    /**
     * Returns the monotonic clock of the process, for leases and timeouts.
     *
     * @return a clock that never goes back and that advances also while the process is stopped or
     *     paused; its origin is arbitrary, so readings may be negative and cannot be compared with
     *     those of another process
     */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns the wall clock, only for timestamps that are displayed or stored. It can jump when
     * the system time is set.
     *
     * @return a clock of the milliseconds since the Unix epoch
     */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
