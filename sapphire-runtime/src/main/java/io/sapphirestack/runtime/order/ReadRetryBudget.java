package io.sapphirestack.runtime.order;

import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Limits the retries of reads, so that they do not overload a failing service. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface ReadRetryBudget {

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param service name of the service
     * @return whether the retry may be made
     */
    boolean tryRetry(String service);

    /**
     * Records a request that is not a retry, in proportion to which a budget may grant retries.
     * Does nothing by default.
     *
     * @param service name of the service
     */
    default void recordRequest(String service) {}

    /**
     * Creates a budget that delegates to two functions.
     *
     * @param recordRequest called with the name of the service for each request
     * @param tryRetry called with the name of the service for each retry; returns whether it may be
     *     made
     * @return the budget
     */
    static ReadRetryBudget of(Consumer<String> recordRequest, Predicate<String> tryRetry) {
        return new ReadRetryBudget() {
            @Override
            public boolean tryRetry(String service) {
                return tryRetry.test(service);
            }

            @Override
            public void recordRequest(String service) {
                recordRequest.accept(service);
            }
        };
    }
}
