package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Executors, crash monitor, clock and nonces of the order service. Tests replace them to control
 * threads and time.
 *
 * @param dispatchExecutor bounded executor that dispatches orders; an order occupies a thread until
 *     its response arrives
 * @param delayedExecutor runs delayed resends of commits
 * @param waitStrategy blocks the calling thread until a result or a time
 * @param crashes tells which orders crash endpoints
 * @param clock monotonic clock
 * @param nonceSupplier returns a new random identifier for each reservation
 */
public record OrderRuntime(
        Executor dispatchExecutor,
        DelayedExecutor delayedExecutor,
        WaitStrategy waitStrategy,
        RequestCrashMonitor crashes,
        MillisClock clock,
        Supplier<String> nonceSupplier) {

    /** Checks the components for {@code null}. */
    public OrderRuntime {
        Objects.requireNonNull(dispatchExecutor, "dispatchExecutor");
        Objects.requireNonNull(delayedExecutor, "delayedExecutor");
        Objects.requireNonNull(waitStrategy, "waitStrategy");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(nonceSupplier, "nonceSupplier");
    }
}
