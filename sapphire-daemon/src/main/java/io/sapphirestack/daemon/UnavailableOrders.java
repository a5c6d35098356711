package io.sapphirestack.daemon;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.runtime.order.OrderRequest;
import io.sapphirestack.runtime.order.OrderService;
import io.sapphirestack.runtime.order.ReadService;
import io.sapphirestack.runtime.order.ServiceAnswer;

/** Refuses orders and reads as not run, as long as no implementation is wired. */
final class UnavailableOrders implements OrderService, ReadService {

    @Override
    public ServiceAnswer submit(OrderRequest request) throws RefusedException {
        throw refused();
    }

    @Override
    public ControlResult outcome(OrderKey key) throws RefusedException {
        throw refused();
    }

    @Override
    public ServiceAnswer read(
            AccountId account, String service, String pathAndQuery, long deadlineMs)
            throws RefusedException {
        throw refused();
    }

    private static RefusedException refused() {
        return new RefusedException(
                Refusal.notRun(
                        503, "no_endpoint", "dispatch", "Plain services are not available here."));
    }
}
