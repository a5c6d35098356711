package io.sapphirestack.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Simulated cluster of three voters, connected by a network that delays, duplicates, reorders and
 * drops messages.
 */
final class SimulatedCluster {

    private static final List<String> ADDRESSES = List.of("a:1", "b:1", "c:1");
    private static final int STEP_MS = 10;

    private final Random random;
    private final long[] nowMs = {1_000};
    private final ControlOracle oracle = new ControlOracle();
    private final List<VoterUnderTest> voters = new ArrayList<>();
    private final List<PendingMessage> messagesInFlight = new ArrayList<>();
    private final Set<String> blockedLinks = new HashSet<>();
    private final List<ControlCommand> sentCommands = new ArrayList<>();
    private int dropPercent;
    private int diskLosses;
    private int lastId;

    SimulatedCluster(long seed) {
        random = new Random(seed);
        for (String address : ADDRESSES) {
            voters.add(new VoterUnderTest(address, ADDRESSES, random, oracle, nowMs));
        }
    }

    int diskLosses() {
        return diskLosses;
    }

    ControlOracle oracle() {
        return oracle;
    }

    void run(int durationMs, int messageDropPercent, long seed) {
        random.setSeed(seed);
        run(durationMs, messageDropPercent);
    }

    void run(int durationMs, int messageDropPercent) {
        dropPercent = messageDropPercent;
        for (int elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            step();
        }
    }

    void submitPut(int name) {
        RecordKey key = new RecordKey("account", "a" + name);
        Optional<VoterUnderTest> source = findAny(VoterUnderTest::isRunning);
        // Operators read the state of any voter, so several changes may expect the same revision,
        // or an outdated one.
        long expected =
                source.flatMap(voter -> voter.state().view().findRecord(key))
                        .map(ConfigRecord::revision)
                        .orElse(0L);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("keyHash", "sha256$00$" + "ab".repeat(32));
        String changeId = "c" + ++lastId;
        submit(new ControlCommand.PutRecord(changeId, "op", key, expected, 1, 1, body, false));
    }

    void submitReserve(int key) {
        String nonce = "n" + ++lastId;
        submit(new ControlCommand.ReserveOrder(orderKey(key), "h", instance(1), nonce));
    }

    void submitJoin(int id) {
        InstanceInfo info = new InstanceInfo(instance(id), "az1", "r1", "i:1", "i:2", 1);
        submit(new ControlCommand.JoinInstance(info, "j" + ++lastId, Optional.empty()));
    }

    void resendRandomCommand() {
        if (!sentCommands.isEmpty()) {
            deliverCommand(sentCommands.get(random.nextInt(sentCommands.size())));
        }
    }

    /** Releases a random reservation, as a holder does that has not dispatched the order. */
    void releaseRandomReservation() {
        List<ControlCommand.ReserveOrder> reservations =
                sentCommands.stream()
                        .filter(ControlCommand.ReserveOrder.class::isInstance)
                        .map(ControlCommand.ReserveOrder.class::cast)
                        .toList();
        if (!reservations.isEmpty()) {
            ControlCommand.ReserveOrder reserve =
                    reservations.get(random.nextInt(reservations.size()));
            oracle.onReleased(reserve.key(), reserve.nonce());
            submit(new ControlCommand.ReleaseOrder(reserve.key(), reserve.nonce()));
        }
    }

    void readFromAllVoters() {
        voters.stream().filter(VoterUnderTest::isActive).forEach(VoterUnderTest::read);
    }

    void crash(int voter) {
        if (voters.get(voter).isRunning()) {
            voters.get(voter).crash();
        }
    }

    void restart(int voter) {
        if (!voters.get(voter).isRunning()) {
            voters.get(voter).start();
        }
    }

    /**
     * Erases the disk of a voter and restarts it, unless the cluster has not yet recovered from an
     * earlier disk loss.
     */
    void loseDisk(int voter) {
        Set<String> identities =
                voters.stream().map(VoterUnderTest::voterId).collect(Collectors.toSet());
        boolean repaired =
                voters.stream()
                        .filter(VoterUnderTest::isRunning)
                        .map(VoterUnderTest::node)
                        .filter(ReplicationNode::hasCommittedInTerm)
                        .anyMatch(
                                node ->
                                        node.membership().voters().keySet().equals(identities)
                                                && node.isMembershipCommitted());
        if (repaired) {
            voters.get(voter).loseDisk();
            voters.get(voter).start();
            diskLosses++;
        }
    }

    void pause(int voter) {
        voters.get(voter).paused = voters.get(voter).isRunning();
    }

    void resume() {
        voters.forEach(voter -> voter.paused = false);
    }

    /** Blocks messages from one voter to another, or in both directions. */
    void block(int from, int to, boolean both) {
        blockedLinks.add(ADDRESSES.get(from) + ">" + ADDRESSES.get(to));
        if (both) {
            blockedLinks.add(ADDRESSES.get(to) + ">" + ADDRESSES.get(from));
        }
    }

    void unblockLinks() {
        blockedLinks.clear();
    }

    void compact(int voter) {
        if (voters.get(voter).isActive()) {
            voters.get(voter).compact();
        }
    }

    void transferLeadership() {
        voters.stream()
                .filter(VoterUnderTest::isActive)
                .forEach(voter -> voter.node().transferLeadership());
    }

    /** Ends all faults, and checks that changes are accepted again and all voters agree. */
    void checkRecovery() {
        unblockLinks();
        resume();
        voters.stream().filter(voter -> !voter.isRunning()).forEach(VoterUnderTest::start);
        run(6_000, 0);
        submitPut(99);
        readFromAllVoters();
        run(2_000, 0);
        long index = oracle.lastCommitted();
        for (VoterUnderTest voter : voters) {
            assertThat(voter.state().index())
                    .as("applied index of %s", voter.address)
                    .isEqualTo(index);
            assertThat(voter.node().membership().contains(voter.voterId()))
                    .as("%s is a voter", voter.address)
                    .isTrue();
            assertThat(voter.state().view()).isEqualTo(voters.get(0).state().view());
        }
        assertThat(voters.get(0).state().view().findRecord(new RecordKey("account", "a99")))
                .as("change submitted after the recovery")
                .isPresent();
    }

    private void step() {
        nowMs[0] += STEP_MS;
        for (VoterUnderTest voter : voters) {
            if (voter.isActive()) {
                voter.tick();
                if (random.nextInt(100) < 70) {
                    voter.sync();
                }
                sendMessages(voter);
            }
        }
        deliverMessages();
        voters.stream().filter(VoterUnderTest::isActive).forEach(this::sendMessages);
    }

    private void sendMessages(VoterUnderTest voter) {
        for (VoterMessage message : voter.drainMessages()) {
            int copies = random.nextInt(100) < dropPercent ? 0 : 1;
            copies += copies == 1 && random.nextInt(100) < 5 ? 1 : 0;
            for (int i = 0; i < copies; i++) {
                boolean slow = random.nextInt(100) < 3;
                int delayMs = random.nextInt(slow ? 1_000 : 25);
                messagesInFlight.add(new PendingMessage(nowMs[0] + delayMs, message));
            }
        }
    }

    private void deliverMessages() {
        List<PendingMessage> dueMessages =
                new ArrayList<>(
                        messagesInFlight.stream()
                                .filter(pending -> pending.atMs <= nowMs[0])
                                .toList());
        dueMessages.sort(Comparator.comparingLong(PendingMessage::atMs));
        for (PendingMessage pending : dueMessages) {
            VoterUnderTest receiver = voters.get(ADDRESSES.indexOf(pending.message.toAddress()));
            if (receiver.isRunning() && receiver.paused) {
                continue;
            }
            messagesInFlight.remove(pending);
            String link = pending.message.fromAddress() + ">" + pending.message.toAddress();
            if (receiver.isActive() && !blockedLinks.contains(link)) {
                receiver.receive(pending.message);
            }
        }
    }

    private void submit(ControlCommand command) {
        sentCommands.add(command);
        deliverCommand(command);
    }

    private void deliverCommand(ControlCommand command) {
        for (VoterUnderTest voter : voters) {
            if (voter.isActive() && voter.submit(command)) {
                return;
            }
        }
    }

    private Optional<VoterUnderTest> findAny(Predicate<VoterUnderTest> filter) {
        List<VoterUnderTest> found = voters.stream().filter(filter).toList();
        return found.isEmpty()
                ? Optional.empty()
                : Optional.of(found.get(random.nextInt(found.size())));
    }

    private static OrderKey orderKey(int key) {
        return new OrderKey(AccountId.of("a"), "refill", "k" + key);
    }

    private static InstanceRef instance(int id) {
        return new InstanceRef(InstanceId.of("i" + id), 1);
    }

    /** Message in flight. Compared by identity, so that duplicates are delivered one by one. */
    private static final class PendingMessage {
        private final long atMs;
        private final VoterMessage message;

        private PendingMessage(long atMs, VoterMessage message) {
            this.atMs = atMs;
            this.message = message;
        }

        private long atMs() {
            return atMs;
        }
    }
}
