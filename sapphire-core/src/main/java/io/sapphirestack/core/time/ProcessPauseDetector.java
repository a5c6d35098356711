package io.sapphirestack.core.time;

import java.util.Objects;

/**
 * Detects that the own process did not run for some time, and tells how early a request that it
 * reads may have arrived.
 *
 * <p>A process that was stopped and continues reads the requests that arrived meanwhile as if they
 * were new. The callers of some have left: an order among them that is sent to an endpoint may run
 * a second time, because its caller has sent it again elsewhere. Thread-safe.
 */
public final class ProcessPauseDetector {

    /**
     * Shortest time without a tick that counts as a pause, in milliseconds. Ticks are due every 100
     * ms; a process with a quarter of a core is late by less.
     */
    static final long MIN_PAUSE_MS = 500;

    /**
     * Time after a pause in which a request that is read may have arrived during the pause, in
     * milliseconds.
     */
    static final long BACKLOG_MS = 500;

    private final MillisClock clock;
    private long lastTickMs;
    private long pausedSinceMs;
    private long backlogUntilMs;

    /**
     * Creates a detector.
     *
     * @param clock monotonic clock that continues while the process is stopped
     */
    public ProcessPauseDetector(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.lastTickMs = clock.nowMs();
        this.pausedSinceMs = lastTickMs;
        this.backlogUntilMs = lastTickMs;
    }

    /**
     * Records that the process runs. Called every 100 ms.
     *
     * @return length of the pause that ended with this call in milliseconds, 0 if there was none
     */
    public synchronized long tick() {
        long nowMs = clock.nowMs();
        long gapMs = nowMs - lastTickMs;
        long pauseMs = gapMs >= MIN_PAUSE_MS ? gapMs : 0;
        if (pauseMs > 0) {
            beginBacklog(nowMs);
        }
        lastTickMs = nowMs;
        return pauseMs;
    }

    private void beginBacklog(long nowMs) {
        // A second pause right after the first one continues it.
        if (lastTickMs >= backlogUntilMs) {
            pausedSinceMs = lastTickMs;
        }
        backlogUntilMs = nowMs + BACKLOG_MS;
    }

    /**
     * Returns the earliest time at which a request may have arrived.
     *
     * @param readAtMs time at which it was read, on the clock of this detector, in milliseconds
     * @return the time at which it was read, or the beginning of a pause shortly before it
     */
    public synchronized long earliestArrivalMs(long readAtMs) {
        if (readAtMs - lastTickMs >= MIN_PAUSE_MS) {
            // The request is read before the first tick after a pause.
            return lastTickMs >= backlogUntilMs ? lastTickMs : pausedSinceMs;
        }
        return readAtMs < backlogUntilMs ? pausedSinceMs : readAtMs;
    }
}
