package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;

/** Executes idempotent reads, retried within a budget. Thread-safe; calls block. */
@FunctionalInterface
public interface ReadService {

    /**
     * Reads from a plain service.
     *
     * @param account client account that asks
     * @param service name of the service
     * @param pathAndQuery path below {@code /read/} with its query
     * @param deadlineMs latest time for the answer on the monotonic clock
     * @return answer of the service
     * @throws RefusedException if no endpoint answered in time
     */
    ServiceResponse read(AccountId account, String service, String pathAndQuery, long deadlineMs)
            throws RefusedException;
}
