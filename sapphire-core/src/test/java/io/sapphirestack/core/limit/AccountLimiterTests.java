package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.AccountSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import org.junit.jupiter.api.Test;

/** Guards against exceeding account limits because instances decide independently. */
class AccountLimiterTests {
    private static final int INSTANCES = 10;
    private static final long STEP_MS = 50;
    private static final AccountId A = AccountId.of("a");
    private static final AccountId B = AccountId.of("b");

    private long nowMs = 1_000_000;

    /** Ten limiters that learn each other's usage with a fixed lag. */
    private final class Fleet {
        private final List<AccountLimiter> limiters = new ArrayList<>();
        private final List<Deque<AccountUsageTable>> reported = new ArrayList<>();

        Fleet(long lagMs) {
            for (int i = 0; i < INSTANCES; i++) {
                int self = i;
                reported.add(new ArrayDeque<>());
                limiters.add(
                        new AccountLimiter(() -> othersOf(self), () -> INSTANCES, () -> nowMs));
                for (long t = 0; t < lagMs; t += STEP_MS) {
                    reported.get(i).add(AccountUsageTable.EMPTY);
                }
            }
        }

        private AccountUsageTable othersOf(int self) {
            java.util.Map<Integer, AccountUsage> sum = new java.util.HashMap<>();
            for (int i = 0; i < INSTANCES; i++) {
                if (i != self) {
                    reported.get(i)
                            .peekFirst()
                            .byHandle()
                            .forEach((h, u) -> sum.merge(h, u, AccountUsage::plus));
                }
            }
            return new AccountUsageTable(sum);
        }

        void step() {
            for (int i = 0; i < INSTANCES; i++) {
                reported.get(i).addLast(limiters.get(i).localUsage());
                reported.get(i).removeFirst();
            }
            nowMs += STEP_MS;
        }
    }

    private static AccountSpec spec(int generations, double requestsPerS) {
        return new AccountSpec("x", 5, 1, generations, requestsPerS);
    }

    private static boolean begin(
            AccountLimiter limiter,
            AccountId id,
            AccountSpec spec,
            List<AccountLimiter.Permit> open) {
        try {
            limiter.admitRequest(id, spec);
            open.add(limiter.beginGeneration(id, spec));
            return true;
        } catch (RefusedException e) {
            assertThat(e.refusal().code()).isEqualTo("account_limit");
            assertThat(e.refusal().status()).isEqualTo(429);
            return false;
        }
    }

    @Property(seed = "8711", tries = 40)
    void sumOverInstancesStaysBelowTwiceTheLimitPlusOnePerInstance(
            @ForAll @IntRange(min = 4, max = 40) int lagSteps,
            @ForAll @IntRange(min = 1, max = 300) int limit,
            @ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(lagSteps * STEP_MS);
        AccountSpec spec = spec(limit, 1_000_000);
        List<AccountLimiter.Permit> open = new ArrayList<>();
        int active = 1;
        int closeDivisor = 4 + random.nextInt(60);
        int maxOpen = 0;
        for (int step = 0; step < 200; step++) {
            if (step % 40 == 0) {
                active = 1 + random.nextInt(INSTANCES);
            }
            for (int i = 0; i < active; i++) {
                int wanted = random.nextInt(limit + 1);
                while (wanted > 0 && begin(fleet.limiters.get(i), A, spec, open)) {
                    wanted--;
                }
            }
            maxOpen = Math.max(maxOpen, open.size());
            assertThat(maxOpen).isLessThanOrEqualTo(2 * limit + INSTANCES);
            for (int n = random.nextInt(1 + open.size() / closeDivisor); n > 0; n--) {
                open.remove(random.nextInt(open.size())).close();
            }
            fleet.step();
        }
        Statistics.label("most admitted, in tenths of the limit, for limits of 50 and above")
                .collect(limit >= 50 ? 10 * maxOpen / limit : -1);
    }

    @Property(seed = "8712", tries = 20)
    void admittedRequestsStayBelowTwiceTheRate(
            @ForAll @IntRange(min = 4, max = 40) int lagSteps,
            @ForAll @IntRange(min = 10, max = 200) int perS,
            @ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(lagSteps * STEP_MS);
        AccountSpec spec = spec(1, perS);
        int admitted = 0;
        int steps = 400;
        for (int step = 0; step < steps; step++) {
            for (int n = 0; n < 3 * perS * STEP_MS / 1_000 + 1; n++) {
                try {
                    fleet.limiters.get(random.nextInt(INSTANCES)).admitRequest(A, spec);
                    admitted++;
                } catch (RefusedException e) {
                    assertThat(e.refusal().code()).isEqualTo("account_limit");
                }
            }
            fleet.step();
        }
        double limit = perS * steps * STEP_MS / 1_000.0;
        assertThat((double) admitted).isBetween(0.5 * limit, 2 * limit + INSTANCES);
    }

    @Test
    void overloadByOneAccountDoesNotAffectOthers() {
        Fleet fleet = new Fleet(1_000);
        List<AccountLimiter.Permit> open = new ArrayList<>();
        List<AccountLimiter.Permit> openOfB = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            for (AccountLimiter limiter : fleet.limiters) {
                for (int n = 0; n < 20; n++) {
                    begin(limiter, A, spec(20, 20), open);
                }
            }
            if (step % 20 == 0) {
                AccountLimiter limiter = fleet.limiters.get(step / 20 % INSTANCES);
                assertThat(begin(limiter, B, spec(20, 20), openOfB)).isTrue();
            }
            fleet.step();
        }
        assertThat(openOfB).hasSize(10);
    }

    @Test
    void singleInstanceAdmitsExactlyTheLimit() throws RefusedException {
        AccountLimiter limiter =
                new AccountLimiter(() -> AccountUsageTable.EMPTY, () -> 1, () -> nowMs);
        List<AccountLimiter.Permit> open = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            open.add(limiter.beginGeneration(A, spec(5, 1)));
        }
        assertThatThrownBy(() -> limiter.beginGeneration(A, spec(5, 1)))
                .isInstanceOf(RefusedException.class);
        open.get(0).close();
        open.get(0).close();
        nowMs += AccountLimiter.MAX_LAG_MS;
        limiter.beginGeneration(A, spec(5, 1));
        assertThatThrownBy(() -> limiter.beginGeneration(A, spec(5, 1)))
                .isInstanceOf(RefusedException.class);
    }

    @Test
    void trafficAtOneInstanceCanUseMostOfTheLimit() {
        Fleet fleet = new Fleet(1_000);
        List<AccountLimiter.Permit> open = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            begin(fleet.limiters.get(3), A, spec(100, 1_000), open);
            fleet.step();
        }
        assertThat(open.size()).isBetween(90, 100);
    }

    /** Guards against refusing the first requests of an account that is far below its limit. */
    @Test
    void firstBurstMayUseTheShareOfOneSecond() {
        Fleet fleet = new Fleet(500);
        AccountLimiter limiter = fleet.limiters.get(0);
        List<AccountLimiter.Permit> open = new ArrayList<>();

        for (int i = 0; i < 100; i++) {
            assertThat(begin(limiter, A, spec(1_000, 1_000), open)).isTrue();
        }
        assertThat(begin(limiter, A, spec(1_000, 1_000), open)).isFalse();
    }
}
