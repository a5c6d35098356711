package io.sapphirestack.core.limit;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.AccountSpec;
import io.sapphirestack.core.time.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Enforces the limits of client accounts over all instances. Each instance decides independently,
 * from the usage that the others reported up to {@link #MAX_LAG_MS} ago.
 *
 * <p>The remainder of a limit is divided among the instances: each gets an even share, and in
 * addition a share of half the remainder in proportion to its demand. The demand of this instance
 * is taken from {@code MAX_LAG_MS} ago, when the others know it too, so a sudden burst at all
 * instances is divided evenly. Within any {@code MAX_LAG_MS} an instance uses its share at most
 * once, because the others do not know yet what it admitted. The sum over all instances stays below
 * twice the limit plus one per instance: a limit below the number of instances cannot be divided
 * into whole requests, so each instance may admit one. Thread-safe; each account has its own lock,
 * which is held briefly.
 */
public final class AccountLimiter {
    /** Maximum age of the reported usage for which the bound holds, in milliseconds. */
    public static final long MAX_LAG_MS = 2_000;

    /**
     * Time constant of the demand rate, in milliseconds. It is long compared with the lag, so that
     * demand changes little while it is disseminated.
     */
    private static final double DEMAND_TIME_CONSTANT_MS = 5_000;

    private static final double ADMITTED_TIME_CONSTANT_MS = 1_000;
    private static final String STEP = "admission";

    /** Time without usage after which an account is removed, in milliseconds. */
    private static final long IDLE_TIMEOUT_MS = 60_000;

    private final Supplier<AccountUsageTable> others;
    private final IntSupplier liveInstances;
    private final MillisClock clock;
    private final Map<AccountId, Account> accounts = new ConcurrentHashMap<>();
    private final Set<Integer> nearLimit = ConcurrentHashMap.newKeySet();

    /**
     * Creates a limiter.
     *
     * @param others returns the usage at all other instances, as far as it is known here
     * @param liveInstances returns the number of live instances, including this one
     * @param clock monotonic clock
     */
    public AccountLimiter(
            Supplier<AccountUsageTable> others, IntSupplier liveInstances, MillisClock clock) {
        this.others = Objects.requireNonNull(others, "others");
        this.liveInstances = Objects.requireNonNull(liveInstances, "liveInstances");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Permit to run a generation, which counts towards the limit until the permit is closed. */
    @FunctionalInterface
    public interface Permit extends AutoCloseable {
        @Override
        void close();
    }

    /**
     * Admits a request of any kind.
     *
     * @param id client account
     * @param spec record of the account with its limits
     * @throws RefusedException with {@code account_limit} if the account exceeds its request rate
     */
    public void admitRequest(AccountId id, AccountSpec spec) throws RefusedException {
        long nowMs = clock.nowMs();
        AccountUsage elsewhere = others.get().of(id);
        Account account = account(id, nowMs);
        recordNearLimit(
                id,
                2 * (account.usage(nowMs).admittedPerS() + elsewhere.admittedPerS())
                                >= spec.maxRequestsPerS()
                        || 2 * (account.usage(nowMs).concurrent() + elsewhere.concurrent())
                                >= spec.maxConcurrentGenerations());
        boolean admitted =
                account.tryRequest(
                        nowMs,
                        spec.maxRequestsPerS(),
                        elsewhere,
                        Math.max(1, liveInstances.getAsInt()));
        if (!admitted) {
            throw refused(
                    id
                            + " exceeds its limit of "
                            + spec.maxRequestsPerS()
                            + " requests per second.");
        }
    }

    /**
     * Admits a generation. The caller must have called {@link #admitRequest} for the request
     * before.
     *
     * @param id client account
     * @param spec record of the account with its limits
     * @return permit, to be closed when the generation has ended
     * @throws RefusedException with {@code account_limit} if the account has too many generations
     *     running
     */
    public Permit beginGeneration(AccountId id, AccountSpec spec) throws RefusedException {
        long nowMs = clock.nowMs();
        Account account = account(id, nowMs);
        boolean admitted =
                account.tryGeneration(
                        nowMs,
                        spec.maxConcurrentGenerations(),
                        others.get().of(id),
                        Math.max(1, liveInstances.getAsInt()));
        if (!admitted) {
            throw refused(
                    id
                            + " exceeds its limit of "
                            + spec.maxConcurrentGenerations()
                            + " concurrent generations.");
        }
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                account.endGeneration();
            }
        };
    }

    /**
     * Counts a generation that this instance took over from another one, without checking the
     * limit: it was admitted there and must not be refused.
     *
     * @param id client account
     * @return permit, to be closed when the generation has ended
     */
    public Permit adoptGeneration(AccountId id) {
        Account account = account(id, clock.nowMs());
        account.addAdoptedGeneration();
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                account.endGeneration();
            }
        };
    }

    /** Returns the usage at this instance, to be disseminated. Removes idle accounts. */
    public AccountUsageTable localUsage() {
        long nowMs = clock.nowMs();
        Map<Integer, AccountUsage> usage = new HashMap<>();
        accounts.forEach(
                (id, account) -> {
                    if (account.isIdle(nowMs)) {
                        accounts.remove(id, account);
                    } else {
                        usage.merge(
                                AccountUsageTable.handleOf(id),
                                account.usage(nowMs),
                                AccountUsage::plus);
                    }
                });
        return new AccountUsageTable(usage);
    }

    /**
     * Returns whether an account uses at least half of a limit, as far as it is known here. The
     * usage of such an account is disseminated more often.
     *
     * @param handle 32-bit handle of the account, see {@link AccountUsageTable#handleOf}
     * @return whether the account was near a limit at its latest request
     */
    public boolean isNearLimit(int handle) {
        return nearLimit.contains(handle);
    }

    private void recordNearLimit(AccountId id, boolean isNear) {
        if (isNear) {
            nearLimit.add(AccountUsageTable.handleOf(id));
        } else if (!nearLimit.isEmpty()) {
            nearLimit.remove(AccountUsageTable.handleOf(id));
        }
    }

    private Account account(AccountId id, long nowMs) {
        return accounts.computeIfAbsent(id, key -> new Account(nowMs));
    }

    private static RefusedException refused(String detail) {
        return new RefusedException(
                new Refusal(
                        429,
                        "account_limit",
                        "Client account " + detail,
                        STEP,
                        "local",
                        ExecutionState.NO,
                        1_000));
    }

    /** Usage and admission state of one account at this instance. */
    private static final class Account {
        private final DecayingRate demand;
        private final DecayingRate admitted;
        private final DemandHistory demandHistory;
        private final RecentCount recentAdmissions = new RecentCount();
        private int concurrent;
        private double bucketTokens = Double.MAX_VALUE;
        private long refilledAtMs;
        private long lastRequestAtMs;

        Account(long nowMs) {
            demand = new DecayingRate(DEMAND_TIME_CONSTANT_MS, nowMs);
            admitted = new DecayingRate(ADMITTED_TIME_CONSTANT_MS, nowMs);
            demandHistory = new DemandHistory(nowMs);
            refilledAtMs = nowMs;
            lastRequestAtMs = nowMs;
        }

        synchronized boolean tryGeneration(
                long nowMs, int limit, AccountUsage elsewhere, int instances) {
            int remaining = limit - concurrent - elsewhere.concurrent();
            int unreported = recentAdmissions.countAt(nowMs);
            // Share of what remained before the admissions that the others do not know yet.
            double allowed = (remaining + unreported) * share(nowMs, elsewhere, instances);
            if (remaining <= 0 || unreported + 1 > Math.max(1, allowed)) {
                return false;
            }
            recentAdmissions.add(nowMs);
            concurrent++;
            return true;
        }

        synchronized boolean tryRequest(
                long nowMs, double limitPerS, AccountUsage elsewhere, int instances) {
            lastRequestAtMs = nowMs;
            demand.add(nowMs);
            demandHistory.sample(nowMs, demand.perS(nowMs));
            double ownPerS = admitted.perS(nowMs);
            double totalPerS = ownPerS + elsewhere.admittedPerS();
            double allowedPerS =
                    totalPerS > limitPerS
                            ? Math.max(limitPerS / instances / 2, ownPerS * limitPerS / totalPerS)
                            : ownPerS
                                    + (limitPerS - totalPerS) * share(nowMs, elsewhere, instances);
            allowedPerS = Math.min(allowedPerS, limitPerS);
            // An account that is new here starts with a full token bucket: its first burst may use
            // its share of one second.
            bucketTokens =
                    Math.min(
                            Math.max(1, allowedPerS),
                            bucketTokens + allowedPerS * (nowMs - refilledAtMs) / 1_000);
            refilledAtMs = nowMs;
            if (bucketTokens < 1 || limitPerS == 0) {
                return false;
            }
            bucketTokens -= 1;
            admitted.add(nowMs);
            return true;
        }

        private double share(long nowMs, AccountUsage elsewhere, int instances) {
            double own = demandHistory.knownToAllPerS(nowMs);
            double total = own + elsewhere.demandPerS();
            double byDemand = total > 0 ? own / total : 0;
            return Math.min(1, 1.0 / instances + 0.5 * byDemand);
        }

        synchronized void endGeneration() {
            concurrent--;
        }

        synchronized void addAdoptedGeneration() {
            concurrent++;
        }

        synchronized AccountUsage usage(long nowMs) {
            return new AccountUsage(concurrent, admitted.perS(nowMs), demand.perS(nowMs));
        }

        synchronized boolean isIdle(long nowMs) {
            return concurrent == 0 && nowMs - lastRequestAtMs > IDLE_TIMEOUT_MS;
        }
    }

    /** Counts admissions within the maximum lag, which the other instances may not know yet. */
    private static final class RecentCount {
        private static final int BUCKETS = 10;
        private static final long BUCKET_MS = MAX_LAG_MS / 8;

        private final int[] counts = new int[BUCKETS];
        private long lastBucket = Long.MIN_VALUE / BUCKET_MS;

        private void advance(long nowMs) {
            long bucket = Math.floorDiv(nowMs, BUCKET_MS);
            for (long b = Math.max(lastBucket + 1, bucket - BUCKETS + 1); b <= bucket; b++) {
                counts[Math.floorMod(b, BUCKETS)] = 0;
            }
            lastBucket = Math.max(lastBucket, bucket);
        }

        void add(long nowMs) {
            advance(nowMs);
            counts[Math.floorMod(lastBucket, BUCKETS)]++;
        }

        int countAt(long nowMs) {
            advance(nowMs);
            int sum = 0;
            for (int count : counts) {
                sum += count;
            }
            return sum;
        }
    }

    /**
     * Demand over the last steps of time. A step holds the latest value within it, so the step that
     * is used must have ended before the maximum lag. With a newer value every instance would
     * attribute a burst at all instances to itself.
     */
    private static final class DemandHistory {
        private static final int STEPS = 7;
        private static final long STEP_MS = MAX_LAG_MS / 4;

        private final double[] perS = new double[STEPS];
        private long lastStep;

        DemandHistory(long nowMs) {
            lastStep = Math.floorDiv(nowMs, STEP_MS);
        }

        void sample(long nowMs, double valuePerS) {
            advance(nowMs);
            perS[Math.floorMod(lastStep, STEPS)] = valuePerS;
        }

        private void advance(long nowMs) {
            long step = Math.floorDiv(nowMs, STEP_MS);
            double latestPerS = perS[Math.floorMod(lastStep, STEPS)];
            for (long s = Math.max(lastStep + 1, step - STEPS + 1); s <= step; s++) {
                // Demand decays without new requests, the same as the disseminated rate.
                double elapsedMs = (s - lastStep) * STEP_MS;
                perS[Math.floorMod(s, STEPS)] =
                        latestPerS * Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
            }
            lastStep = Math.max(lastStep, step);
        }

        double knownToAllPerS(long nowMs) {
            advance(nowMs);
            return perS[Math.floorMod(lastStep - (STEPS - 1), STEPS)];
        }
    }
}
