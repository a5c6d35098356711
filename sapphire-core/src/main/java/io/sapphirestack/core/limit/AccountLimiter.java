package io.sapphirestack.core.limit;

import io.sapphirestack.core.error.RanState;
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
 * Limits of client accounts over all instances. Each instance decides on its own from the use that
 * the others reported up to {@link #MAX_LAG_MS} ago.
 *
 * <p>What is left of a limit is divided among the instances: each gets an even part, and half of it
 * again in proportion to demand. Own demand is taken from {@code MAX_LAG_MS} ago, when the others
 * know it too; a sudden burst at all instances is therefore divided evenly. An instance uses up its
 * part at most once within any {@code MAX_LAG_MS}, until the others see what it admitted. The sum
 * over all instances stays below twice the limit plus one per instance; a limit below the number of
 * instances cannot be divided into whole requests, so each instance may admit one. Thread-safe;
 * each account has its own short lock.
 */
public final class AccountLimiter {
    /** Longest lag of the reported use for which the bound holds, in milliseconds. */
    public static final long MAX_LAG_MS = 2_000;

    /** Long against the lag, so that demand changes little while it is disseminated. */
    private static final double DEMAND_TIME_CONSTANT_MS = 5_000;

    private static final double ADMITTED_TIME_CONSTANT_MS = 1_000;
    private static final String STEP = "admission";

    /** Accounts without use for this long are dropped from the table. */
    private static final long IDLE_MS = 60_000;

    private final Supplier<UsageTable> others;
    private final IntSupplier liveInstances;
    private final MillisClock clock;
    private final Map<AccountId, Account> accounts = new ConcurrentHashMap<>();
    private final Set<Integer> nearLimit = ConcurrentHashMap.newKeySet();

    /**
     * Creates a limiter.
     *
     * @param others returns the use at all other instances, as known here
     * @param liveInstances returns the number of live instances, including this one
     * @param clock monotonic clock
     */
    public AccountLimiter(
            Supplier<UsageTable> others, IntSupplier liveInstances, MillisClock clock) {
        this.others = Objects.requireNonNull(others, "others");
        this.liveInstances = Objects.requireNonNull(liveInstances, "liveInstances");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Permission to run a generation; counts against the account until it is closed. */
    @FunctionalInterface
    public interface Permit extends AutoCloseable {
        @Override
        void close();
    }

    /**
     * Admits a request of any kind.
     *
     * @param id client account
     * @param spec its record
     * @throws RefusedException with {@code account_limit} if too many requests per second come
     */
    public void admitRequest(AccountId id, AccountSpec spec) throws RefusedException {
        long nowMs = clock.nowMs();
        AccountUsage elsewhere = others.get().of(id);
        Account account = account(id, nowMs);
        recordUse(
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
            throw refused(id + " may send " + spec.maxRequestsPerS() + " requests per second.");
        }
    }

    /**
     * Admits a generation; {@link #admitRequest} is called before.
     *
     * @param id client account
     * @param spec its record
     * @return permit to be closed when the generation has ended
     * @throws RefusedException with {@code account_limit} if too many generations run
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
                    id + " may run " + spec.maxConcurrentGenerations() + " generations at once.");
        }
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                account.endGeneration();
            }
        };
    }

    /**
     * Counts a generation without checking the limit, for one that this instance took over from
     * another; it was admitted there and must not be refused.
     *
     * @param id client account
     * @return permit to be closed when the generation has ended
     */
    public Permit adoptGeneration(AccountId id) {
        Account account = account(id, clock.nowMs());
        account.adopt();
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                account.endGeneration();
            }
        };
    }

    /** Returns the use at this instance, to be disseminated. Drops accounts that are idle. */
    public UsageTable localUsage() {
        long nowMs = clock.nowMs();
        Map<Integer, AccountUsage> usage = new HashMap<>();
        accounts.forEach(
                (id, account) -> {
                    if (account.isIdle(nowMs)) {
                        accounts.remove(id, account);
                    } else {
                        usage.merge(
                                UsageTable.handleOf(id), account.usage(nowMs), AccountUsage::plus);
                    }
                });
        return new UsageTable(usage);
    }

    /**
     * Tells whether an account uses at least half of a limit, as known here, so that its use is
     * worth disseminating often.
     *
     * @param handle short name of the account, see {@link UsageTable#handleOf}
     * @return whether it is near a limit
     */
    public boolean isNearLimit(int handle) {
        return nearLimit.contains(handle);
    }

    private void recordUse(AccountId id, boolean near) {
        if (near) {
            nearLimit.add(UsageTable.handleOf(id));
        } else if (!nearLimit.isEmpty()) {
            nearLimit.remove(UsageTable.handleOf(id));
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
                        RanState.NO,
                        1_000));
    }

    /** Use and decisions of one account at this instance. */
    private static final class Account {
        private final DecayingRate demand;
        private final DecayingRate admitted;
        private final DemandHistory history;
        private final RecentCount recent = new RecentCount();
        private int concurrent;
        private double requestTokens = Double.MAX_VALUE;
        private long refilledMs;
        private long usedMs;

        Account(long nowMs) {
            demand = new DecayingRate(DEMAND_TIME_CONSTANT_MS, nowMs);
            admitted = new DecayingRate(ADMITTED_TIME_CONSTANT_MS, nowMs);
            history = new DemandHistory(nowMs);
            refilledMs = nowMs;
            usedMs = nowMs;
        }

        synchronized boolean tryGeneration(
                long nowMs, int limit, AccountUsage elsewhere, int instances) {
            int left = limit - concurrent - elsewhere.concurrent();
            int unseen = recent.countAt(nowMs);
            // What was left before the admissions that the others do not see yet.
            double part = (left + unseen) * share(nowMs, elsewhere, instances);
            if (left <= 0 || unseen + 1 > Math.max(1, part)) {
                return false;
            }
            recent.add(nowMs);
            concurrent++;
            return true;
        }

        synchronized boolean tryRequest(
                long nowMs, double limitPerS, AccountUsage elsewhere, int instances) {
            usedMs = nowMs;
            demand.add(nowMs);
            history.sample(nowMs, demand.perS(nowMs));
            double ownPerS = admitted.perS(nowMs);
            double totalPerS = ownPerS + elsewhere.admittedPerS();
            double allowedPerS =
                    totalPerS > limitPerS
                            ? Math.max(limitPerS / instances / 2, ownPerS * limitPerS / totalPerS)
                            : ownPerS
                                    + (limitPerS - totalPerS) * share(nowMs, elsewhere, instances);
            allowedPerS = Math.min(allowedPerS, limitPerS);
            // An account that is new here counts as idle: its first burst may use one second's
            // part.
            requestTokens =
                    Math.min(
                            Math.max(1, allowedPerS),
                            requestTokens + allowedPerS * (nowMs - refilledMs) / 1_000);
            refilledMs = nowMs;
            if (requestTokens < 1 || limitPerS == 0) {
                return false;
            }
            requestTokens -= 1;
            admitted.add(nowMs);
            return true;
        }

        private double share(long nowMs, AccountUsage elsewhere, int instances) {
            double own = history.knownToAllPerS(nowMs);
            double total = own + elsewhere.demandPerS();
            double byDemand = total > 0 ? own / total : 0;
            return Math.min(1, 1.0 / instances + 0.5 * byDemand);
        }

        synchronized void endGeneration() {
            concurrent--;
        }

        synchronized void adopt() {
            concurrent++;
        }

        synchronized AccountUsage usage(long nowMs) {
            return new AccountUsage(concurrent, admitted.perS(nowMs), demand.perS(nowMs));
        }

        synchronized boolean isIdle(long nowMs) {
            return concurrent == 0 && nowMs - usedMs > IDLE_MS;
        }
    }

    /** Admissions within the longest lag, which the other instances may not see yet. */
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
     * Past demand. A step holds the last value within it, so the step that is used must have ended
     * before the longest lag; a newer value would let every instance take a burst for its own.
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
            double carried = perS[Math.floorMod(lastStep, STEPS)];
            for (long s = Math.max(lastStep + 1, step - STEPS + 1); s <= step; s++) {
                // Demand that is not renewed decays, as the other instances see it.
                double silentMs = (s - lastStep) * STEP_MS;
                perS[Math.floorMod(s, STEPS)] =
                        carried * Math.exp(-silentMs / DEMAND_TIME_CONSTANT_MS);
            }
            lastStep = Math.max(lastStep, step);
        }

        double knownToAllPerS(long nowMs) {
            advance(nowMs);
            return perS[Math.floorMod(lastStep - (STEPS - 1), STEPS)];
        }
    }
}
