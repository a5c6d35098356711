package io.sapphirestack.standins.demo;

import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;

/** Waits for states of the fleet. Stateless. */
final class Waiting {

    private static final MillisClock CLOCK = MillisClock.monotonic();
    private static final long POLL_MS = 50;

    private Waiting() {}

    /**
     * Waits until a condition holds.
     *
     * @param condition what to wait for; an I/O failure counts as not yet
     * @param timeoutMs longest wait in milliseconds
     * @return whether it held in time
     */
    static boolean until(Condition condition, long timeoutMs) {
        long untilMs = CLOCK.nowMs() + timeoutMs;
        while (CLOCK.nowMs() < untilMs && !Thread.currentThread().isInterrupted()) {
            try {
                if (condition.holds()) {
                    return true;
                }
            } catch (IOException e) {
                // The process is not up yet, or is being replaced.
            }
            pause(POLL_MS);
        }
        return false;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** State of the fleet. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws IOException;
    }
}
