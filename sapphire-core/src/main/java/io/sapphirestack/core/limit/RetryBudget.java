package io.sapphirestack.core.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Budget for retries by service: a tenth of the requests, plus a small reserve so that a service
 * with few requests can retry at all. Thread-safe and lock-free.
 */
public final class RetryBudget {
    /** Retries that a service without recent requests may make. */
    public static final int RESERVE = 10;

    /** Most retries that can be saved up, so that a long quiet time pays for no retry storm. */
    public static final int MAX_SAVED = 100;

    private static final long RETRY_COST = 10;
    private static final long REQUEST_CREDIT = 1;

    private final Map<String, AtomicLong> creditByService = new ConcurrentHashMap<>();

    /**
     * Records a request that is not a retry.
     *
     * @param service name of the service
     */
    public void recordRequest(String service) {
        credit(service).updateAndGet(c -> Math.min(MAX_SAVED * RETRY_COST, c + REQUEST_CREDIT));
    }

    /**
     * Spends one retry if the budget allows it.
     *
     * @param service name of the service
     * @return whether the retry may be made
     */
    public boolean tryRetry(String service) {
        AtomicLong credit = credit(service);
        long before = credit.getAndUpdate(c -> c >= RETRY_COST ? c - RETRY_COST : c);
        return before >= RETRY_COST;
    }

    private AtomicLong credit(String service) {
        return creditByService.computeIfAbsent(
                service, name -> new AtomicLong(RESERVE * RETRY_COST));
    }
}
