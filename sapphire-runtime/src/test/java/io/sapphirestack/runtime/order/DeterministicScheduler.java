package io.sapphirestack.runtime.order;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;

/**
 * Runs threads one at a time, in an order that depends only on a seed. A thread yields its turn
 * where it would block or have an effect outside of its instance. Time is simulated.
 */
final class DeterministicScheduler {

    private static final long IDLE_STEP_MS = 20;

    private final Random random;
    private final List<Task> tasks = new ArrayList<>();
    private final Set<String> paused = new HashSet<>();
    private final Semaphore schedulerTurn = new Semaphore(0);
    private final ThreadLocal<Task> current = new ThreadLocal<>();
    private volatile long nowMs = 1_000;

    DeterministicScheduler(long seed) {
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

    /**
     * Starts a thread in a group. It inherits the request identifier of the calling thread, or -1
     * if that is not a scheduled thread.
     */
    void spawn(String group, Runnable body) {
        Task parent = current.get();
        spawn(group, parent == null ? -1 : parent.requestId, body);
    }

    void spawn(String group, int requestId, Runnable body) {
        Task task = new Task(group, requestId);
        tasks.add(task);
        Thread thread =
                new Thread(
                        () -> {
                            current.set(task);
                            task.turn.acquireUninterruptibly();
                            try {
                                if (!task.crashed) {
                                    body.run();
                                }
                            } catch (Crash e) {
                                task.crashed = true;
                            } finally {
                                task.done = true;
                                schedulerTurn.release();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the identifier of the request for which the calling thread runs, or -1 if there is
     * none.
     */
    int currentRequestId() {
        return current.get().requestId;
    }

    /** Yields the turn. */
    void yieldTurn() {
        yieldUntil(() -> true);
    }

    /** Yields the turn until a condition holds. */
    void yieldUntil(BooleanSupplier ready) {
        Task task = current.get();
        if (task.crashed) {
            throw new Crash();
        }
        task.ready = ready;
        schedulerTurn.release();
        task.turn.acquireUninterruptibly();
        if (task.crashed) {
            throw new Crash();
        }
    }

    void waitUntil(long untilMs) {
        yieldUntil(() -> nowMs >= untilMs);
    }

    /** Ends all threads of a group at the point where they yielded last. */
    void crash(String group) {
        paused.remove(group);
        for (Task task : List.copyOf(tasks)) {
            if (task.group.equals(group) && !task.done) {
                task.crashed = true;
                runUntilYield(task);
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
     * Runs one ready thread until it yields or ends. If none is ready, simulated time advances.
     *
     * @return whether threads may be left to run; false if all have ended or are paused
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
        runUntilYield(ready.get(random.nextInt(ready.size())));
        tasks.removeIf(task -> task.done);
        return true;
    }

    /**
     * Resumes all groups and runs until no thread is left. Fails if that takes more than 200,000
     * steps.
     */
    void runToCompletion() {
        paused.clear();
        for (int i = 0; i < 200_000; i++) {
            if (!step()) {
                return;
            }
        }
        throw new IllegalStateException(
                "threads still running after the maximum number of steps: " + tasks.size());
    }

    private void runUntilYield(Task task) {
        task.turn.release();
        schedulerTurn.acquireUninterruptibly();
    }

    private static final class Task {
        private final String group;
        private final int requestId;
        private final Semaphore turn = new Semaphore(0);
        private volatile BooleanSupplier ready = () -> true;
        private volatile boolean crashed;
        private volatile boolean done;

        Task(String group, int requestId) {
            this.group = group;
            this.requestId = requestId;
        }
    }

    /** Thrown in the threads of a crashed group to end them. */
    static final class Crash extends Error {
        private static final long serialVersionUID = 1L;

        Crash() {
            super("crash", null, false, false);
        }
    }
}
