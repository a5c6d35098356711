package io.sapphirestack.runtime.concurrent;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/** Factories of daemon threads, which do not prevent the process from exiting. */
public final class DaemonThreads {

    private DaemonThreads() {}

    /**
     * Returns a factory of daemon threads that all have the same name.
     *
     * @param name name of each thread
     * @return thread factory
     */
    public static ThreadFactory namedFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /**
     * Creates a scheduler with daemon threads that removes cancelled tasks from its queue at once
     * and runs a periodic task again after a failure, which it logs.
     *
     * @param name name of the threads
     * @param threads number of threads, at least 1
     * @return scheduler, to be shut down by the code that created it
     */
    public static ScheduledThreadPoolExecutor scheduler(String name, int threads) {
        ScheduledThreadPoolExecutor scheduler = new GuardedScheduler(threads, namedFactory(name));
        scheduler.setRemoveOnCancelPolicy(true);
        return scheduler;
    }
}
