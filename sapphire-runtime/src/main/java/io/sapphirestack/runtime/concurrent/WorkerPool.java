package io.sapphirestack.runtime.concurrent;

import java.util.concurrent.LinkedTransferQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Executor that uses an idle thread if there is one, else a new thread up to a limit, and only then
 * queues. The JDK's pool queues before it grows, so one blocked task could delay all others.
 */
public final class WorkerPool {

    private static final long KEEP_ALIVE_S = 10;

    private WorkerPool() {}

    /**
     * Creates an executor of daemon threads.
     *
     * @param name prefix of the thread names
     * @param maxThreads most threads at a time; further tasks wait
     * @return an executor whose idle threads end after 10 s
     */
    public static ThreadPoolExecutor create(String name, int maxThreads) {
        AtomicLong number = new AtomicLong();
        ThreadPoolExecutor pool =
                new ThreadPoolExecutor(
                        0,
                        maxThreads,
                        KEEP_ALIVE_S,
                        TimeUnit.SECONDS,
                        new HandOverQueue(),
                        task -> {
                            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
                            thread.setDaemon(true);
                            return thread;
                        });
        pool.setRejectedExecutionHandler(
                (task, executor) -> {
                    if (!executor.isShutdown()) {
                        ((HandOverQueue) executor.getQueue()).put(task);
                    }
                });
        return pool;
    }

    /** Accepts an offered task only if a thread waits for it. */
    private static final class HandOverQueue extends LinkedTransferQueue<Runnable> {

        private static final long serialVersionUID = 1L;

        @Override
        public boolean offer(Runnable task) {
            return tryTransfer(task);
        }
    }
}
