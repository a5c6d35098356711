package io.sapphirestack.runtime.order;

/**
 * Executes tasks after a delay, for example on a scheduled executor. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface DelayedExecutor {

    /**
     * Schedules a task.
     *
     * @param task task to run; it is short and does not block
     * @param delayMs delay in milliseconds
     */
    void schedule(Runnable task, long delayMs);
}
