package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.RepeatUse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against repeats of many instances that together exceed the budget of the fleet. */
class RepeatBudgetTests {

    @ParameterizedTest
    @CsvSource({"1, 100, 180", "10, 100, 90", "10, 0, 10"})
    void repeatsStayWithinTheShare(int instances, int requests, int allowed) {
        AtomicLong nowMs = new AtomicLong();
        RepeatBudget budget =
                new RepeatBudget(
                        new RepeatBudget.Settings(0.8, 100, 10_000), () -> instances, nowMs::get);
        for (int i = 0; i < requests; i++) {
            budget.recordRequest("s");
        }
        int made = 0;
        while (budget.tryRepeat("s")) {
            made++;
        }
        assertThat(made).isEqualTo(allowed);
        assertThat(budget.left("s")).isZero();
        nowMs.set(10_000);
        assertThat(budget.left("s")).isEqualTo(100 / instances);
    }

    private static final double RATIO = 0.8;
    private static final double RESERVE = 150;
    private static final int FLEET = 81;

    /** One of many instances that hear of each other's use some time later. */
    private static final class Member {
        private final RepeatBudget budget;
        private Optional<RepeatUse> others = Optional.empty();

        Member(AtomicLong nowMs) {
            budget =
                    new RepeatBudget(
                            new RepeatBudget.Settings(RATIO, RESERVE, 10_000),
                            () -> FLEET,
                            service -> others,
                            nowMs::get);
        }

        RepeatUse use() {
            return budget.ownUse().getOrDefault("s", new RepeatUse(1, 0, 0));
        }
    }

    private static List<Member> fleet(AtomicLong nowMs, int requestsEach) {
        List<Member> fleet = new ArrayList<>();
        for (int i = 0; i < FLEET; i++) {
            Member member = new Member(nowMs);
            for (int k = 0; k < requestsEach; k++) {
                member.budget.recordRequest("s");
            }
            fleet.add(member);
        }
        return fleet;
    }

    private static void share(List<Member> fleet) {
        int requests = 0;
        int repeats = 0;
        for (Member member : fleet) {
            requests += member.use().requests();
            repeats += member.use().repeats();
        }
        for (Member member : fleet) {
            member.others =
                    Optional.of(
                            new RepeatUse(
                                    FLEET - 1,
                                    requests - member.use().requests(),
                                    repeats - member.use().repeats()));
        }
    }

    @Test
    void instanceTakesWhatOthersDoNotNeed() {
        List<Member> fleet = fleet(new AtomicLong(), 2);
        share(fleet);
        RepeatBudget one = fleet.get(0).budget;
        int made = 0;
        while (made < 20 && one.tryRepeat("s")) {
            made++;
        }
        // Its own share is 3.4, less than one loss of an engine with a few streams needs.
        assertThat(made).isEqualTo(20);
    }

    @ParameterizedTest
    @CsvSource({"1, 5", "2, 10", "3, 40"})
    void stormOfAllInstancesStaysWithinTheBudgetOfTheFleet(long seed, int triesEachRound) {
        SplittableRandom random = new SplittableRandom(seed);
        AtomicLong nowMs = new AtomicLong();
        List<Member> fleet = fleet(nowMs, 26);
        double whole = RATIO * 26 * FLEET + RESERVE;
        int made = 0;
        for (int round = 0; round < 200; round++) {
            share(fleet);
            for (int i = 0; i < triesEachRound; i++) {
                made += fleet.get(random.nextInt(FLEET)).budget.tryRepeat("s") ? 1 : 0;
            }
        }
        assertThat(made).isLessThanOrEqualTo((int) whole);
    }

    @Test
    void instanceThatHearsOfNobodyKeepsToItsShare() {
        Member alone = fleet(new AtomicLong(), 10).get(0);
        alone.others = Optional.of(new RepeatUse(0, 0, 0));
        int made = 0;
        while (alone.budget.tryRepeat("s")) {
            made++;
        }
        assertThat(made).isLessThanOrEqualTo((int) (RATIO * 10 + RESERVE / FLEET));
    }
}
