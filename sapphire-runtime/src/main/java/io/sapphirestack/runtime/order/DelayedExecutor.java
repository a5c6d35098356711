package io.sapphirestack.runtime.order;

/** Runs tasks later, such as a scheduled executor. Implementations are thread-safe. */
@FunctionalInterface
public interface DelayedExecutor {

    /**
     * Runs a task after a delay.
     *
     * @param task short task that does not block
     * @param delayMs delay in milliseconds
     */
    void schedule(Runnable task, long delayMs);
}
