package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.AccountId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against accounts that exceed their share, and against lost or duplicated work. */
class FairQueueTests {
    private static final AccountId A = AccountId.of("a");
    private static final AccountId B = AccountId.of("b");

    @Test
    void backloggedAccountsAreServedInProportionToWeightAndPriority() {
        FairQueue<String> queue = new FairQueue<>(10_000);
        for (int i = 0; i < 1_000; i++) {
            queue.offer(A, 3, 5, "a");
            queue.offer(B, 1, 5, "b");
            queue.offer(AccountId.of("c"), 1, 6, "c");
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            served.merge(queue.poll().orElseThrow(), 1, Integer::sum);
        }
        assertThat(served.get("a")).isBetween(298, 302);
        assertThat(served.get("b")).isBetween(98, 102);
        assertThat(served.get("c")).isBetween(198, 202);
    }

    @Test
    void accountThatQueuesOneEntryAtATimeDoesNotOvertakeBackloggedOne() {
        FairQueue<String> queue = new FairQueue<>(1_000);
        for (int i = 0; i < 100; i++) {
            queue.offer(B, 1, 5, "b");
        }
        queue.offer(A, 1, 5, "a");
        int servedA = 0;
        for (int i = 0; i < 100; i++) {
            if (queue.poll().orElseThrow().equals("a")) {
                servedA++;
                queue.offer(A, 1, 5, "a");
            }
        }
        assertThat(servedA).isBetween(49, 51);
    }

    @Test
    void overloadByOneAccountLeavesCapacityToOthers() {
        FairQueue<String> queue = new FairQueue<>(100);
        for (int i = 0; i < 1_000; i++) {
            queue.offer(A, 1, 5, "a");
        }
        assertThat(queue.size(A)).isEqualTo(50);
        assertThat(queue.offer(B, 1, 5, "b")).isTrue();
        assertThat(queue.poll().orElseThrow() + queue.poll().orElseThrow()).contains("b");
    }

    @Test
    void workThatIsNotReadyDoesNotBlockOthers() {
        FairQueue<String> queue = new FairQueue<>(10);
        queue.offer(A, 1, 5, "blocked");
        queue.offer(A, 1, 5, "free");
        assertThat(queue.poll(w -> !w.equals("blocked"))).contains("free");
        assertThat(queue.poll(w -> !w.equals("blocked"))).isEmpty();
        assertThat(queue.poll()).contains("blocked");
    }

    @Property(seed = "6711", tries = 300)
    void workOfAnAccountIsNeverLostDuplicatedOrReordered(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(20);
        // Oracle: one list per account. The order is only defined within an account.
        Map<AccountId, List<Integer>> oracle = new HashMap<>();
        List<AccountId> accounts = List.of(A, B, AccountId.of("c"));
        int total = 0;
        for (int i = 0; i < 200; i++) {
            AccountId account = accounts.get(random.nextInt(3));
            List<Integer> entries = oracle.computeIfAbsent(account, a -> new ArrayList<>());
            switch (random.nextInt(4)) {
                case 0 -> {
                    Optional<Integer> polled = queue.poll();
                    assertThat(polled.isPresent()).isEqualTo(total > 0);
                    if (polled.isPresent()) {
                        total--;
                        assertThat(
                                        oracle.values().stream()
                                                .filter(l -> !l.isEmpty())
                                                .filter(l -> l.get(0).equals(polled.get()))
                                                .peek(l -> l.remove(0))
                                                .count())
                                .isEqualTo(1);
                    }
                }
                case 1 -> {
                    int work = random.nextInt(i + 1);
                    boolean removed =
                            oracle.values().stream().anyMatch(l -> l.remove((Object) work));
                    assertThat(queue.remove(work)).isEqualTo(removed);
                    total -= removed ? 1 : 0;
                }
                default -> {
                    boolean fits = entries.size() < 20 - total;
                    double weight = 0.5 + random.nextInt(4);
                    assertThat(queue.offer(account, weight, random.nextInt(10), i)).isEqualTo(fits);
                    if (fits) {
                        entries.add(i);
                        total++;
                    }
                }
            }
            assertThat(queue.size()).isEqualTo(total).isLessThanOrEqualTo(20);
            assertThat(queue.size(account)).isEqualTo(entries.size());
        }
    }
}
