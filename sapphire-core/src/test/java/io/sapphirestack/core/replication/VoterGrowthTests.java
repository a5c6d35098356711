package io.sapphirestack.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a log that cannot bear the next loss, because a lost voter still counts or its
 * successor was never added.
 */
class VoterGrowthTests {

    private static final List<String> FOUNDERS = List.of("a:1", "b:1", "c:1");
    private static final int STEP_MS = 10;
    private static final int MIN_VOTERS = 3;

    private final long[] nowMs = {1_000};
    private final Map<String, Member> members = new TreeMap<>();

    /** One node with its disk. */
    private final class Member {
        private final String address;
        private final MemoryLogStore store;
        private ReplicationNode node;

        Member(String address) {
            this.address = address;
            this.store = new MemoryLogStore(address + "-store");
        }

        void start(boolean firstStart) {
            ReplicationSettings settings =
                    ReplicationSettings.withDefaults(
                            address,
                            FOUNDERS,
                            new ReplicationSettings.Growth(
                                    true,
                                    firstStart,
                                    MIN_VOTERS,
                                    () -> List.copyOf(members.keySet())));
            node =
                    new ReplicationNode(
                            settings,
                            () -> nowMs[0],
                            () -> nowMs[0],
                            new Random(address.hashCode()),
                            store.load());
        }

        List<VoterMessage> process() {
            List<VoterMessage> messages = new ArrayList<>();
            Optional<PersistBatch> batch;
            do {
                messages.addAll(node.drainMessages());
                batch = node.takeBatch();
                if (batch.isPresent()) {
                    store.persist(batch.get());
                    node.persisted(batch.get().number());
                }
                node.takeCommitted();
            } while (batch.isPresent());
            messages.addAll(node.drainMessages());
            return messages;
        }
    }

    private void start(String... addresses) {
        for (String address : addresses) {
            members.computeIfAbsent(address, Member::new).start(true);
        }
    }

    private void run(int durationMs) {
        for (int ms = 0; ms < durationMs; ms += STEP_MS) {
            nowMs[0] += STEP_MS;
            List<VoterMessage> messages = new ArrayList<>();
            for (Member member : members.values()) {
                if (member.node != null) {
                    member.node.tick();
                    messages.addAll(member.process());
                }
            }
            for (VoterMessage message : messages) {
                Member receiver = members.get(message.toAddress());
                if (receiver != null && receiver.node != null) {
                    receiver.node.receive(message);
                }
            }
        }
    }

    private List<String> voters() {
        return members.values().stream()
                .filter(member -> member.node != null && member.node.leadership().isPresent())
                .findFirst()
                .map(member -> member.node.membership().voters().values())
                .map(addresses -> addresses.stream().sorted().toList())
                .orElse(List.of());
    }

    @Test
    void nodeThatTheSettingsDoNotNameBecomesAVoter() {
        start("a:1", "b:1", "c:1", "d:1");
        run(3_000);
        assertThat(voters()).containsExactly("a:1", "b:1", "c:1", "d:1");
    }

    @ParameterizedTest
    @CsvSource({"a:1", "c:1", "d:1"})
    void lostVoterIsRemovedAndReadmittedWhenItReturns(String lost) {
        start("a:1", "b:1", "c:1", "d:1");
        run(3_000);
        members.get(lost).node = null;
        run(5_000);
        assertThat(voters()).hasSize(3).doesNotContain(lost);
        members.get(lost).start(false);
        run(6_000);
        assertThat(voters()).containsExactly("a:1", "b:1", "c:1", "d:1");
    }

    @Test
    void voterIsReplacedAtAnotherAddress() {
        start("a:1", "b:1", "c:1");
        run(2_000);
        members.get("b:1").node = null;
        run(4_000);
        assertThat(voters()).as("not below the minimum").containsExactly("a:1", "b:1", "c:1");
        start("e:1");
        run(5_000);
        assertThat(voters()).containsExactly("a:1", "c:1", "e:1");
    }

    @Test
    void emptyNodesFormNoLogAfterTheFirstStart() {
        for (String address : FOUNDERS) {
            members.computeIfAbsent(address, Member::new);
        }
        members.values().forEach(member -> member.start(false));
        run(5_000);
        assertThat(voters()).isEmpty();
    }
}
