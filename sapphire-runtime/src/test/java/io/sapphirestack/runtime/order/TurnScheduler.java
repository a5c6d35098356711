package io.sapphirestack.runtime.order;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;

/**
 * Runs threads one at a time, in an order that depends only on a seed. A thread gives up its turn
 * where it would block or cause an effect. Time is simulated.
 */
final class TurnScheduler {

    private static final long IDLE_STEP_MS = 20;

    private final Random random;
    private final List<Task> tasks = new ArrayList<>();
    private final Set<String> paused = new HashSet<>();
    private final Semaphore driver = new Semaphore(0);
    private final ThreadLocal<Task> current = new ThreadLocal<>();
    private volatile long nowMs = 1_000;

    TurnScheduler(long seed) {
        this.random = new Random(seed);
    }

    Random random() {
        return random;
    }

    long nowMs() {
        return nowMs;
    }

    void advance(long ms) {
        nowMs += ms;
    }

    /** Starts a thread; it inherits the request of the thread that starts it. */
    void spawn(String group, Runnable body) {
        Task parent = current.get();
        spawn(group, parent == null ? -1 : parent.request, body);
    }

    void spawn(String group, int request, Runnable body) {
        Task task = new Task(group, request);
        tasks.add(task);
        Thread thread =
                new Thread(
                        () -> {
                            current.set(task);
                            task.permit.acquireUninterruptibly();
                            try {
                                if (!task.crashed) {
                                    body.run();
                                }
                            } catch (Crash e) {
                                task.crashed = true;
                            } finally {
                                task.done = true;
                                driver.release();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the request on whose behalf the calling thread runs, or -1. */
    int request() {
        return current.get().request;
    }

    /** Gives up the turn. */
    void turn() {
        turnWhen(() -> true);
    }

    /** Gives up the turn until a condition holds. */
    void turnWhen(BooleanSupplier ready) {
        Task task = current.get();
        if (task.crashed) {
            throw new Crash();
        }
        task.ready = ready;
        driver.release();
        task.permit.acquireUninterruptibly();
        if (task.crashed) {
            throw new Crash();
        }
    }

    void waitUntil(long untilMs) {
        turnWhen(() -> nowMs >= untilMs);
    }

    /** Ends all threads of a group at the point that they have reached. */
    void crash(String group) {
        paused.remove(group);
        for (Task task : List.copyOf(tasks)) {
            if (task.group.equals(group) && !task.done) {
                task.crashed = true;
                grant(task);
            }
        }
        tasks.removeIf(task -> task.done);
    }

    void pause(String group) {
        paused.add(group);
    }

    void resume(String group) {
        paused.remove(group);
    }

    /**
     * Lets one thread run until it gives up its turn.
     *
     * @return whether any thread is left
     */
    boolean step() {
        List<Task> ready =
                tasks.stream()
                        .filter(task -> !paused.contains(task.group) && task.ready.getAsBoolean())
                        .toList();
        if (ready.isEmpty()) {
            advance(IDLE_STEP_MS);
            return tasks.stream().anyMatch(task -> !paused.contains(task.group));
        }
        nowMs += random.nextInt(3);
        grant(ready.get(random.nextInt(ready.size())));
        tasks.removeIf(task -> task.done);
        return true;
    }

    /** Runs until no thread is left; fails if that takes more than a bound of steps. */
    void finish() {
        paused.clear();
        for (int i = 0; i < 200_000; i++) {
            if (!step()) {
                return;
            }
        }
        throw new IllegalStateException("threads do not end: " + tasks.size());
    }

    private void grant(Task task) {
        task.permit.release();
        driver.acquireUninterruptibly();
    }

    private static final class Task {
        private final String group;
        private final int request;
        private final Semaphore permit = new Semaphore(0);
        private volatile BooleanSupplier ready = () -> true;
        private volatile boolean crashed;
        private volatile boolean done;

        Task(String group, int request) {
            this.group = group;
            this.request = request;
        }
    }

    /** Ends a thread of a crashed instance. */
    static final class Crash extends Error {
        private static final long serialVersionUID = 1L;

        Crash() {
            super("crash", null, false, false);
        }
    }
}
