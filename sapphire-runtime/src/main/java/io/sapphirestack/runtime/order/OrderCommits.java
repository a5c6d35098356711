package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * Commits releases and outcomes of orders, and repeats a commit until it is confirmed. Both are
 * idempotent by the nonce of the reservation. Thread-safe.
 */
final class OrderCommits {

    private static final Logger LOG = Logger.getLogger(OrderCommits.class);
    private static final long TIMEOUT_MS = 2_000;
    private static final long FIRST_DELAY_MS = 100;
    private static final long MAX_DELAY_MS = 5_000;

    private final ControlClient control;
    private final DelayedExecutor delayed;

    OrderCommits(ControlClient control, DelayedExecutor delayed) {
        this.control = control;
        this.delayed = delayed;
    }

    /**
     * Records that an order did not run under a reservation.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     */
    void release(OrderKey key, String nonce) {
        submit(
                new ControlCommand.ReleaseOrder(key, nonce),
                // A full ledger has not recorded a release that overtook its reservation.
                result -> !(result instanceof ControlResult.OrderLedgerFull),
                FIRST_DELAY_MS,
                new CompletableFuture<>());
    }

    /**
     * Records the outcome of an order.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param answer answer of the service
     * @return completed once the log has confirmed the commit; never fails
     */
    CompletableFuture<ControlResult> complete(OrderKey key, String nonce, PlainAnswer answer) {
        CompletableFuture<ControlResult> confirmed = new CompletableFuture<>();
        submit(
                new ControlCommand.CompleteOrder(
                        key, nonce, answer.status(), answer.contentType(), answer.body()),
                result -> true,
                FIRST_DELAY_MS,
                confirmed);
        return confirmed;
    }

    private void submit(
            ControlCommand command,
            Predicate<ControlResult> isConfirmed,
            long delayMs,
            CompletableFuture<ControlResult> confirmed) {
        control.submit(command, TIMEOUT_MS)
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null && isConfirmed.test(result)) {
                                confirmed.complete(result);
                                return;
                            }
                            LOG.debugf(failure, "SAP4010 commit of %s is repeated", command);
                            long nextMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
                            delayed.schedule(
                                    () -> submit(command, isConfirmed, nextMs, confirmed), delayMs);
                        });
    }
}
