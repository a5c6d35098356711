package io.sapphirestack.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>Implementations are thread-safe. Decision logic takes a clock as a constructor argument, so
 * that tests control time.
 */
@FunctionalInterface
public interface MillisClock {

    /**
     * Returns the current reading of this clock.
     *
     * @return milliseconds since an origin that is fixed for the life of the process
     */
    long nowMs();

    /**
     * Returns the monotonic clock of the process, to be used for leases and timeouts.
     *
     * @return a clock that never goes back and continues while the process is stopped
     */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns the wall clock, to be used only for timestamps that are shown or stored.
     *
     * @return milliseconds since the Unix epoch
     */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
