package io.sapphirestack.runtime.transport;

import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

/**
 * Runs the handlers of one connection. Requests of one type run one after the other in the order of
 * their arrival, requests of different types independently of each other, so that a blocking
 * handler delays only requests of its own type. Thread-safe.
 */
final class PerTypeExecutor {

    private static final EventLog LOG = EventLog.of(PerTypeExecutor.class);

    private final Executor executor;
    private final Map<Integer, SerialQueue> queuesByType = new ConcurrentHashMap<>();

    PerTypeExecutor(Executor executor) {
        this.executor = executor;
    }

    void execute(int typeCode, Runnable task) {
        queuesByType.computeIfAbsent(typeCode, code -> new SerialQueue()).add(task);
    }

    private final class SerialQueue implements Runnable {

        private final Queue<Runnable> tasks = new ArrayDeque<>();
        private boolean running;

        void add(Runnable task) {
            synchronized (tasks) {
                tasks.add(task);
                if (running) {
                    return;
                }
                running = true;
            }
            try {
                executor.execute(this);
            } catch (RuntimeException | Error e) {
                // Without a thread the next task must try to start one again.
                synchronized (tasks) {
                    running = false;
                    tasks.remove(task);
                }
                throw e;
            }
        }

        @Override
        public void run() {
            Runnable task = next();
            while (task != null) {
                try {
                    task.run();
                } catch (RuntimeException | Error e) {
                    LOG.error("SAP1104", e, "The handler of a peer request failed");
                }
                task = next();
            }
        }

        private Runnable next() {
            synchronized (tasks) {
                Runnable task = tasks.poll();
                running = task != null;
                return task;
            }
        }
    }
}
