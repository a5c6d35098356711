package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.OrderKey;

/** Executes each order at most once. Implementations are thread-safe; calls block. */
public interface OrderService {

    /**
     * Executes an order, or returns the stored response if it was already executed.
     *
     * @param request order to execute
     * @return response of the service
     * @throws RefusedException if there is no response; the refusal states whether the order was
     *     executed
     */
    ServiceResponse submit(OrderRequest request) throws RefusedException;

    /**
     * Returns the state of an order. If the order is reserved and the service supports it, its
     * endpoints are queried for the outcome first.
     *
     * @param key client account, service and idempotency key
     * @return one of the results of {@link ControlResult} about orders
     * @throws RefusedException if there is no such plain service or the control log cannot be read
     *     now
     */
    ControlResult outcome(OrderKey key) throws RefusedException;
}
