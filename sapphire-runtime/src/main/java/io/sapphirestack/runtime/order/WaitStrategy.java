package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Blocks the caller until a result or a time; tests replace it to control time and threads. */
public interface WaitStrategy {

    /**
     * Waits for a result.
     *
     * @param future result
     * @param untilMs latest time on the monotonic clock
     * @param <T> type of the result
     * @return the result, or empty if it did not come in time or the thread was interrupted
     * @throws ExecutionException if the future failed
     */
    <T> Optional<T> await(CompletableFuture<T> future, long untilMs) throws ExecutionException;

    /**
     * Waits for a time.
     *
     * @param untilMs time on the monotonic clock
     */
    default void pauseUntil(long untilMs) {
        try {
            await(new CompletableFuture<Void>(), untilMs);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a future that nobody completes cannot fail", e);
        }
    }

    /**
     * Returns the strategy that blocks the thread.
     *
     * @param clock monotonic clock
     * @return the strategy
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
