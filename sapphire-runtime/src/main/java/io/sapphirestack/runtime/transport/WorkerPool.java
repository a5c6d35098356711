package io.sapphirestack.runtime.transport;

import java.util.concurrent.LinkedTransferQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Executor that uses an idle thread if there is one, else a new thread up to a limit, and only then
 * queues. The JDK's pool queues before it grows, so one blocked task could delay all others.
 */
final class WorkerPool {

    private static final long KEEP_ALIVE_S = 10;

    private WorkerPool() {}

    static ThreadPoolExecutor create(String name, int maxThreads) {
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
