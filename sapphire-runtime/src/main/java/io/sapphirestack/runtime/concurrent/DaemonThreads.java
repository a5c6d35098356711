package io.sapphirestack.runtime.concurrent;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/** Threads that do not keep the process alive. */
public final class DaemonThreads {

    private DaemonThreads() {}

    /**
     * Returns a factory of daemon threads.
     *
     * @param name name of each thread
     * @return the factory
     */
    public static ThreadFactory namedFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /**
     * Creates a scheduler whose cancelled tasks are dropped at once.
     *
     * @param threads threads that run its tasks
     * @return scheduler to be shut down by its owner
     */
    public static ScheduledThreadPoolExecutor scheduler(int threads) {
        ScheduledThreadPoolExecutor scheduler =
                new ScheduledThreadPoolExecutor(threads, namedFactory("scheduler"));
        scheduler.setRemoveOnCancelPolicy(true);
        return scheduler;
    }
}
