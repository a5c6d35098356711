package io.sapphirestack.runtime.concurrent;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedTransferQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Executor that uses an idle thread if there is one, else a new thread up to a limit, and only then
 * queues. The JDK's pool queues before it grows, so one blocked task could delay all others.
 */
public final class WorkerPools {

    private static final long KEEP_ALIVE_S = 10;

    private WorkerPools() {}

    /**
     * Creates an executor of daemon threads whose further tasks wait.
     *
     * @param name prefix of the thread names
     * @param maxThreads most threads at a time
     * @return an executor whose idle threads end after 10 s
     */
    public static ThreadPoolExecutor createQueueing(String name, int maxThreads) {
        ThreadPoolExecutor pool = pool(name, maxThreads, new HandOverQueue());
        pool.setRejectedExecutionHandler(
                (task, executor) -> {
                    if (!executor.isShutdown()) {
                        ((HandOverQueue) executor.getQueue()).put(task);
                    }
                });
        return pool;
    }

    /**
     * Creates an executor of daemon threads that rejects further tasks.
     *
     * @param name prefix of the thread names
     * @param maxThreads most threads at a time
     * @return an executor whose idle threads end after 10 s
     */
    public static ThreadPoolExecutor createRejecting(String name, int maxThreads) {
        return pool(name, maxThreads, new SynchronousQueue<>());
    }

    private static ThreadPoolExecutor pool(
            String name, int maxThreads, BlockingQueue<Runnable> queue) {
        AtomicLong number = new AtomicLong();
        return new ThreadPoolExecutor(
                0,
                maxThreads,
                KEEP_ALIVE_S,
                TimeUnit.SECONDS,
                queue,
                task -> {
                    Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
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
