package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * Commits releases and outcomes of orders to the control log, and resends each command with an
 * exponential delay until it is confirmed. The commands are idempotent by the nonce of the
 * reservation. Thread-safe.
 */
final class OrderCommitter {

    private static final Logger LOG = Logger.getLogger(OrderCommitter.class);
    private static final long TIMEOUT_MS = 2_000;
    private static final long FIRST_DELAY_MS = 100;
    private static final long MAX_DELAY_MS = 5_000;

    private final ControlClient control;
    private final DelayedExecutor delayedExecutor;

    OrderCommitter(ControlClient control, DelayedExecutor delayedExecutor) {
        this.control = control;
        this.delayedExecutor = delayedExecutor;
    }

    /**
     * Records that an order was not executed under a reservation.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     */
    void release(OrderKey key, String nonce) {
        commit(
                new ControlCommand.ReleaseOrder(key, nonce),
                // If the ledger is full, a release that arrives before its reservation is not
                // stored and must be resent.
                result -> !(result instanceof ControlResult.OrderLedgerFull),
                FIRST_DELAY_MS,
                new CompletableFuture<>());
    }

    /**
     * Records the outcome of an order.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param response response of the service
     * @return future that completes when the control log has confirmed the commit; it never fails
     */
    CompletableFuture<ControlResult> complete(OrderKey key, String nonce, PlainResponse response) {
        CompletableFuture<ControlResult> confirmed = new CompletableFuture<>();
        commit(
                new ControlCommand.CompleteOrder(
                        key, nonce, response.status(), response.contentType(), response.body()),
                result -> true,
                FIRST_DELAY_MS,
                confirmed);
        return confirmed;
    }

    private void commit(
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
                            LOG.debugf(
                                    failure,
                                    "SAP4010 commit of %s is not confirmed; resending it",
                                    command);
                            long nextMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
                            delayedExecutor.schedule(
                                    () -> commit(command, isConfirmed, nextMs, confirmed), delayMs);
                        });
    }
}
