package io.sapphirestack.runtime.concurrent;

import io.sapphirestack.runtime.metrics.EventLog;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Scheduler whose periodic tasks run again after a failure. The scheduler of the JDK never runs a
 * task again after an exception or error, and nothing reports it.
 */
final class GuardedScheduler extends ScheduledThreadPoolExecutor {

    private static final EventLog LOG = EventLog.of(GuardedScheduler.class);

    GuardedScheduler(int threads, ThreadFactory threadFactory) {
        super(threads, threadFactory);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(guard(task, "delayed"), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(guard(task, "periodic"), initialDelay, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(guard(task, "periodic"), initialDelay, period, unit);
    }

    private static Runnable guard(Runnable task, String kind) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                LOG.error("SAP1316", e, "A scheduled task failed", "kind", kind);
            }
        };
    }
}
