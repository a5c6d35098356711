package io.sapphirestack.core.blackboard;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Part of the blackboard: holds one immutable value that its owner replaces as a whole.
 *
 * <p>Thread-safe. Reads take no lock. Listeners run on the thread that publishes a value and must
 * not block.
 *
 * @param <T> immutable type of the value
 */
public final class BlackboardPart<T> {

    private final AtomicReference<T> value;
    private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

    /**
     * Creates a part.
     *
     * @param initial first value, not {@code null}
     */
    public BlackboardPart(T initial) {
        this.value = new AtomicReference<>(Objects.requireNonNull(initial, "initial"));
    }

    /** Returns the value that was published last. */
    public T read() {
        return value.get();
    }

    /**
     * Replaces the value and notifies the listeners.
     *
     * @param next new value, not {@code null}
     */
    public void publish(T next) {
        update(previous -> next);
    }

    /**
     * Atomically derives a new value from the current one. The listeners are notified unless the
     * function returns the same object.
     *
     * @param change function without side effects that does not return {@code null}; it may be
     *     called more than once
     * @return the value after the change
     */
    public T update(UnaryOperator<T> change) {
        T previous;
        T next;
        do {
            previous = value.get();
            next = Objects.requireNonNull(change.apply(previous), "next");
        } while (!value.compareAndSet(previous, next));
        if (next != previous) {
            for (Consumer<T> listener : listeners) {
                listener.accept(next);
            }
        }
        return next;
    }

    /**
     * Registers a listener for the values that are published from now on.
     *
     * @param listener called with each new value; calls from concurrent updates may overlap or
     *     arrive out of order
     */
    public void addListener(Consumer<T> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }
}
