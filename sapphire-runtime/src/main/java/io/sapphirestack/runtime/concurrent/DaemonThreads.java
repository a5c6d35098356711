package io.sapphirestack.runtime.concurrent;

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
    public static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
