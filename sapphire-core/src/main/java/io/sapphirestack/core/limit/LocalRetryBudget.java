package io.sapphirestack.core.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the retries of this instance, per service, to a tenth of the requests plus a small
 * reserve. The reserve allows retries for a service with few requests. Thread-safe and lock-free.
 */
public final class LocalRetryBudget {
    /** Initial number of retries of a service, before any request. */
    public static final int RESERVED_RETRIES = 10;

    /** Maximum number of saved retries. It limits a retry storm after a long healthy period. */
    public static final int MAX_SAVED_RETRIES = 100;

    private static final long CREDITS_PER_RETRY = 10;
    private static final long CREDITS_PER_REQUEST = 1;

    private final Map<String, AtomicLong> creditsByService = new ConcurrentHashMap<>();

    /**
     * Records a request that is not a retry.
     *
     * @param service name of the service
     */
    public void recordRequest(String service) {
        credits(service)
                .updateAndGet(
                        c ->
                                Math.min(
                                        MAX_SAVED_RETRIES * CREDITS_PER_RETRY,
                                        c + CREDITS_PER_REQUEST));
    }

    /**
     * Takes one retry out of the budget if one is left.
     *
     * @param service name of the service
     * @return whether the retry may be made
     */
    public boolean tryRetry(String service) {
        AtomicLong credits = credits(service);
        long previousCredits =
                credits.getAndUpdate(c -> c >= CREDITS_PER_RETRY ? c - CREDITS_PER_RETRY : c);
        return previousCredits >= CREDITS_PER_RETRY;
    }

    private AtomicLong credits(String service) {
        return creditsByService.computeIfAbsent(
                service, name -> new AtomicLong(RESERVED_RETRIES * CREDITS_PER_RETRY));
    }
}
