package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Blocks the calling thread until a result is available or a time is reached. Tests replace it to
 * control time and threads. Implementations are thread-safe.
 */
public interface WaitStrategy {

    /**
     * Waits for a result.
     *
     * @param future future of the result
     * @param untilMs time at which to give up, in milliseconds of the monotonic clock; if it has
     *     passed, this method does not block
     * @param <T> type of the result
     * @return the result, or empty if it was not available in time, it is {@code null}, or the
     *     thread was interrupted
     * @throws ExecutionException if the future completed exceptionally
     */
    <T> Optional<T> await(CompletableFuture<T> future, long untilMs) throws ExecutionException;

    /**
     * Waits until a time, or until the thread is interrupted.
     *
     * @param untilMs time, in milliseconds of the monotonic clock; if it has passed, this method
     *     returns at once
     */
    default void pauseUntil(long untilMs) {
        try {
            await(new CompletableFuture<Void>(), untilMs);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a future that is never completed must not fail", e);
        }
    }

    /**
     * Returns a strategy that blocks the thread on the future. An interrupt ends the wait; the
     * interrupt status of the thread stays set.
     *
     * @param clock monotonic clock
     * @return a thread-safe strategy
     */
    static WaitStrategy blocking(MillisClock clock) {
        return new WaitStrategy() {
            @Override
            public <T> Optional<T> await(CompletableFuture<T> future, long untilMs)
                    throws ExecutionException {
                long waitMs = Math.max(0, untilMs - clock.nowMs());
                try {
                    return Optional.ofNullable(future.get(waitMs, TimeUnit.MILLISECONDS));
                } catch (TimeoutException e) {
                    return Optional.empty();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return Optional.empty();
                }
            }
        };
    }
}
