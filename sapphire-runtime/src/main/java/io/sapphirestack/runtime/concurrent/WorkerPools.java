package io.sapphirestack.runtime.concurrent;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedTransferQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Factory of executors that run a task on an idle thread, or on a new one up to a limit, and queue
 * or reject it only at the limit. A {@link ThreadPoolExecutor} with an unbounded queue starts no
 * threads beyond its core size, so a blocked task could delay all others.
 */
public final class WorkerPools {

    private static final long KEEP_ALIVE_S = 10;

    private WorkerPools() {}

    /**
     * Creates an executor of daemon threads that queues tasks while all threads are busy.
     *
     * @param name prefix of the thread names
     * @param maxThreads maximum number of threads
     * @return executor whose threads end after being idle for 10 s
     */
    public static ThreadPoolExecutor createQueueing(String name, int maxThreads) {
        ThreadPoolExecutor pool = pool(name, maxThreads, new HandoffQueue());
        pool.setRejectedExecutionHandler(
                (task, executor) -> {
                    if (!executor.isShutdown()) {
                        ((HandoffQueue) executor.getQueue()).put(task);
                    }
                });
        return pool;
    }

    /**
     * Creates an executor of daemon threads that rejects tasks while all threads are busy.
     *
     * @param name prefix of the thread names
     * @param maxThreads maximum number of threads
     * @return executor whose threads end after being idle for 10 s
     */
    public static ThreadPoolExecutor createRejecting(String name, int maxThreads) {
        return pool(name, maxThreads, new SynchronousQueue<>());
    }

    /**
     * Ends an executor and waits for its running tasks.
     *
     * @param pool executor that accepts no further tasks
     * @param timeoutMs longest wait in milliseconds
     * @return whether all tasks have ended
     */
    public static boolean shutdown(ThreadPoolExecutor pool, long timeoutMs) {
        pool.shutdown();
        try {
            return pool.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
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

    /** Queue that accepts an offered task only if an idle thread is waiting for one. */
    private static final class HandoffQueue extends LinkedTransferQueue<Runnable> {

        private static final long serialVersionUID = 1L;

        @Override
        public boolean offer(Runnable task) {
            return tryTransfer(task);
        }
    }
}
