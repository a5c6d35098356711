package io.sapphirestack.runtime.order;

/** Limits retries of reads, so that a failing service gets no retry storm. Thread-safe. */
@FunctionalInterface
public interface ReadRetryBudget {

    /**
     * Spends one retry if the budget allows it.
     *
     * @param service name of the service
     * @return whether the retry may be made
     */
    boolean tryRetry(String service);

    /**
     * Records a request that is not a retry.
     *
     * @param service name of the service
     */
    default void recordRequest(String service) {}
}
