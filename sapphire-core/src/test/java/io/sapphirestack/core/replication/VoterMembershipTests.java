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
 * Guards against a cluster that does not tolerate the next failure, because a failed voter still
 * counts towards the majority or its replacement was never added.
 */
class VoterMembershipTests {

    private static final List<String> FOUNDERS = List.of("a:1", "b:1", "c:1");
    private static final int STEP_MS = 10;
    private static final int MIN_VOTERS = 3;

    private final long[] nowMs = {1_000};
    private final Map<String, TestNode> nodes = new TreeMap<>();

    /** Node with its storage; {@code node} is {@code null} while it is stopped. */
    private final class TestNode {
        private final String address;
        private final MemoryLogStore store;
        private ReplicationNode node;

        TestNode(String address) {
            this.address = address;
            this.store = new MemoryLogStore(address + "-store");
        }

        void start(boolean firstStart) {
            ReplicationSettings settings =
                    ReplicationSettings.withDefaults(
                            address,
                            FOUNDERS,
                            new ReplicationSettings.VoterPolicy(
                                    true,
                                    firstStart,
                                    MIN_VOTERS,
                                    () -> List.copyOf(nodes.keySet())));
            node =
                    new ReplicationNode(
                            settings,
                            () -> nowMs[0],
                            () -> nowMs[0],
                            new Random(address.hashCode()),
                            store.load());
        }

        List<VoterMessage> processOutputs() {
            List<VoterMessage> messages = new ArrayList<>();
            Optional<PersistBatch> batch;
            do {
                messages.addAll(node.drainMessages());
                batch = node.takeBatch();
                if (batch.isPresent()) {
                    store.persist(batch.get());
                    node.onPersisted(batch.get().number());
                }
                node.takeCommitted();
            } while (batch.isPresent());
            messages.addAll(node.drainMessages());
            return messages;
        }
    }

    private void start(String... addresses) {
        for (String address : addresses) {
            nodes.computeIfAbsent(address, TestNode::new).start(true);
        }
    }

    private void run(int durationMs) {
        for (int ms = 0; ms < durationMs; ms += STEP_MS) {
            nowMs[0] += STEP_MS;
            List<VoterMessage> messages = new ArrayList<>();
            for (TestNode testNode : nodes.values()) {
                if (testNode.node != null) {
                    testNode.node.tick();
                    messages.addAll(testNode.processOutputs());
                }
            }
            for (VoterMessage message : messages) {
                TestNode receiver = nodes.get(message.toAddress());
                if (receiver != null && receiver.node != null) {
                    receiver.node.receive(message);
                }
            }
        }
    }

    private List<String> voters() {
        return nodes.values().stream()
                .filter(testNode -> testNode.node != null && testNode.node.leadership().isPresent())
                .findFirst()
                .map(testNode -> testNode.node.membership().voters().values())
                .map(addresses -> addresses.stream().sorted().toList())
                .orElse(List.of());
    }

    @Test
    void nodeThatIsNotConfiguredBecomesAVoter() {
        start("a:1", "b:1", "c:1", "d:1");
        run(3_000);
        assertThat(voters()).containsExactly("a:1", "b:1", "c:1", "d:1");
    }

    @ParameterizedTest
    @CsvSource({"a:1", "c:1", "d:1"})
    void failedVoterIsRemovedAndReadmittedWhenItReturns(String failed) {
        start("a:1", "b:1", "c:1", "d:1");
        run(3_000);
        nodes.get(failed).node = null;
        run(5_000);
        assertThat(voters()).hasSize(3).doesNotContain(failed);
        nodes.get(failed).start(false);
        run(6_000);
        assertThat(voters()).containsExactly("a:1", "b:1", "c:1", "d:1");
    }

    @Test
    void failedVoterIsReplacedByANodeAtAnotherAddress() {
        start("a:1", "b:1", "c:1");
        run(2_000);
        nodes.get("b:1").node = null;
        run(4_000);
        assertThat(voters())
                .as("voters are not removed below the minimum")
                .containsExactly("a:1", "b:1", "c:1");
        start("e:1");
        run(5_000);
        assertThat(voters()).containsExactly("a:1", "c:1", "e:1");
    }

    @Test
    void emptyNodesFormNoClusterAfterTheFirstStart() {
        for (String address : FOUNDERS) {
            nodes.computeIfAbsent(address, TestNode::new);
        }
        nodes.values().forEach(testNode -> testNode.start(false));
        run(5_000);
        assertThat(voters()).isEmpty();
    }
}
