package io.sapphirestack.runtime.endpoint;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Task that runs a short time after it was requested. Requests in the meantime cause no further
 * run. Thread-safe.
 */
final class CoalescingTask implements AutoCloseable {

    private final Runnable task;
    private final long delayMs;
    private final Consumer<RuntimeException> onFailure;
    private final AtomicBoolean requested = new AtomicBoolean();
    private volatile Optional<ScheduledExecutorService> scheduler = Optional.empty();

    /**
     * Creates a task that ignores requests until it is started.
     *
     * @param task runs on a thread of the scheduler
     * @param delayMs time from the first request to the run, in milliseconds
     * @param onFailure receives the exceptions of the task
     */
    CoalescingTask(Runnable task, long delayMs, Consumer<RuntimeException> onFailure) {
        this.task = Objects.requireNonNull(task, "task");
        this.delayMs = delayMs;
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure");
    }

    void start(ScheduledExecutorService executor) {
        scheduler = Optional.of(executor);
    }

    void request() {
        Optional<ScheduledExecutorService> current = scheduler;
        if (current.isPresent() && requested.compareAndSet(false, true)) {
            current.get().schedule(this::run, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        requested.set(false);
        try {
            task.run();
        } catch (RuntimeException e) {
            onFailure.accept(e);
        }
    }

    @Override
    public void close() {
        scheduler = Optional.empty();
    }
}
