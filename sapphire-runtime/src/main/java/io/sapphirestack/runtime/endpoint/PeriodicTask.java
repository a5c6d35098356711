package io.sapphirestack.runtime.endpoint;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Task that runs with a fixed delay between its runs until it is closed. Thread-safe. */
final class PeriodicTask implements AutoCloseable {

    private final Runnable task;
    private final long periodMs;
    private final Consumer<RuntimeException> onFailure;
    private ScheduledFuture<?> schedule;

    PeriodicTask(Runnable task, long periodMs, Consumer<RuntimeException> onFailure) {
        this.task = Objects.requireNonNull(task, "task");
        this.periodMs = periodMs;
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure");
    }

    synchronized void start(ScheduledExecutorService scheduler) {
        if (schedule != null) {
            throw new IllegalStateException("already started");
        }
        schedule =
                scheduler.scheduleWithFixedDelay(
                        this::run, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** An exception would end the schedule, so it is reported instead. */
    private void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            onFailure.accept(e);
        }
    }

    @Override
    public synchronized void close() {
        if (schedule != null) {
            schedule.cancel(false);
        }
    }
}
