package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Executors, clock and nonces of the order service. Tests replace them to control threads and time.
 *
 * @param dispatchExecutor bounded executor that dispatches orders; an order occupies a thread until
 *     its response arrives
 * @param delayedExecutor runs delayed resends of commits
 * @param waitStrategy blocks the calling thread until a result or a time
 * @param clock monotonic clock
 * @param nonceSupplier returns a new random identifier for each reservation
 */
public record OrderRuntime(
        Executor dispatchExecutor,
        DelayedExecutor delayedExecutor,
        WaitStrategy waitStrategy,
        MillisClock clock,
        Supplier<String> nonceSupplier) {

    /** Checks the components for {@code null}. */
    public OrderRuntime {
        Objects.requireNonNull(dispatchExecutor, "dispatchExecutor");
        Objects.requireNonNull(delayedExecutor, "delayedExecutor");
        Objects.requireNonNull(waitStrategy, "waitStrategy");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(nonceSupplier, "nonceSupplier");
    }
}
