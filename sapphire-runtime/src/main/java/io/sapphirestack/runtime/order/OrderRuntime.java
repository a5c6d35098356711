package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Threads, time and random identifiers of the order service; tests replace them.
 *
 * @param dispatches bounded executor that dispatches orders; an order keeps a thread until its
 *     answer comes
 * @param delayed runs repeated commits
 * @param waits blocks callers
 * @param clock monotonic clock
 * @param nonces makes a random identifier for each reservation
 */
public record OrderRuntime(
        Executor dispatches,
        DelayedExecutor delayed,
        WaitStrategy waits,
        MillisClock clock,
        Supplier<String> nonces) {

    /** Checks the components. */
    public OrderRuntime {
        Objects.requireNonNull(dispatches, "dispatches");
        Objects.requireNonNull(delayed, "delayed");
        Objects.requireNonNull(waits, "waits");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(nonces, "nonces");
    }
}
