package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;

/**
 * Executes idempotent reads and retries them within a budget. Implementations are thread-safe;
 * calls block.
 */
@FunctionalInterface
public interface ReadService {

    /**
     * Reads from a plain service.
     *
     * @param account client account of the caller
     * @param service name of the service
     * @param pathAndQuery path relative to {@code /read/}, with the query string
     * @param deadlineMs latest time for the response, in milliseconds of the monotonic clock
     * @return response of the service
     * @throws RefusedException if there is no such plain service, or no response was received in
     *     time; the refusal states whether the read was executed
     */
    ServiceResponse read(AccountId account, String service, String pathAndQuery, long deadlineMs)
            throws RefusedException;
}
