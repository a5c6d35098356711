package io.sapphirestack.runtime.generation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Static helper that waits for the replies of peers. */
final class ReplyFutures {

    private ReplyFutures() {}

    /**
     * Waits for a reply. An interrupt leaves the interrupt status of the thread set.
     *
     * @param call call in flight
     * @param timeoutMs longest time to wait in milliseconds
     * @return the reply, or empty if the call failed, timed out or was interrupted
     */
    static <R> Optional<R> await(CompletableFuture<R> call, long timeoutMs) {
        try {
            return Optional.ofNullable(call.get(timeoutMs, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }
}
