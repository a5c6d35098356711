package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.OrderKey;

/** Executes each order at most once. Thread-safe; calls block. */
public interface OrderService {

    /**
     * Executes an order, or returns the stored answer of the same order.
     *
     * @param request the order
     * @return answer of the service
     * @throws RefusedException if there is no answer; the refusal says whether the order ran
     */
    ServiceResponse submit(OrderRequest request) throws RefusedException;

    /**
     * Returns the state of an order, after a look-up at the service where it has one.
     *
     * @param key client account, service and idempotency key
     * @return one of the order results of {@link ControlResult}
     * @throws RefusedException if the state cannot be read now
     */
    ControlResult outcome(OrderKey key) throws RefusedException;
}
