package io.sapphirestack.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates one generation on several instances with the state machines of the product, a mailbox,
 * a membership log that each instance applies with a delay, and engines that never generate a token
 * twice. Reads are checked: the token at an offset must be the same for all callers at all times,
 * and follow the token before it in its engine's stream, so that mixed outputs are detected.
 */
final class GenerationSimulation {

    static final int MAX_TOKENS = 12;

    /** Process of an instance. Its copy and its incarnations are lost when it crashes. */
    static final class Node {
        final InstanceId id;
        InstanceRef ref;
        final Set<InstanceRef> incarnations = new HashSet<>();
        GenerationCopy copy;
        int appliedEvents;
        boolean running = true;
        boolean eventsPaused;
        final List<Connection> connections = new ArrayList<>();

        Node(String name) {
            this.id = InstanceId.of(name);
        }
    }

    /** Output of one attempt on one engine, including the prefix with which it started. */
    static final class Stream {
        final List<String> tokens;
        boolean ended;

        Stream(List<String> prefix) {
            this.tokens = new ArrayList<>(prefix);
        }
    }

    /** Connection to a stream. Those of earlier attempts stay open, so their tokens come late. */
    static final class Connection {
        final long epoch;
        final int attempt;
        final String engine;
        long nextOffset;

        Connection(long epoch, int attempt, String engine, long nextOffset) {
            this.epoch = epoch;
            this.attempt = attempt;
            this.engine = engine;
            this.nextOffset = nextOffset;
        }
    }

    private record Message(
            InstanceRef from,
            InstanceRef to,
            boolean open,
            GenerationAppend append,
            GenerationAppendReply reply) {}

    final List<Node> nodes = new ArrayList<>();
    final List<MembershipEvent> eventLog = new ArrayList<>();
    final Map<InstanceId, InstanceRef> live = new HashMap<>();
    final Map<Long, String> deliveredTokens = new TreeMap<>();
    private final Map<InstanceId, Long> lastIncarnations = new HashMap<>();
    private final List<Message> mailbox = new ArrayList<>();
    private final Map<String, Map<Integer, Stream>> engines = new HashMap<>();
    private final Map<String, String> previousToken = new HashMap<>();
    private final GenerationSpec spec;
    private long nextLogIndex = 10;
    private int nextTokenNumber;
    private boolean changedDuringActivation;
    private String finalOutcome = "";

    GenerationSimulation(int nodeCount) {
        for (int i = 1; i <= nodeCount; i++) {
            nodes.add(new Node("i" + i));
        }
        engines.put("e1", new HashMap<>());
        engines.put("e2", new HashMap<>());
        nodes.forEach(node -> join(node, false));
        nodes.forEach(node -> applyEvents(node, eventLog.size()));
        spec =
                new GenerationSpec(
                        GenerationId.of("g-i1-1-1-0000000000000000"),
                        AccountId.of("a"),
                        "s",
                        "m",
                        new ModelPin("m", "", "1"),
                        "p",
                        MAX_TOKENS,
                        1,
                        "",
                        "");
        Node first = nodes.get(0);
        first.copy = GenerationCopy.accepted(spec, first.ref, nextLogIndex++);
        GenerationOwner owner = first.copy.owner().orElseThrow();
        owner.addLearner(nodes.get(1).ref);
        owner.addLearner(nodes.get(2).ref);
        for (int i = 0; i < 4; i++) {
            sendAppends(first);
            deliverAll();
        }
        assertThat(owner.hasConfirmedActivation(nodes.get(1).ref)).isTrue();
        assertThat(owner.hasConfirmedActivation(nodes.get(2).ref)).isTrue();
        startAttempt(first, "e1", false);
    }

    void sendAppends(Node node) {
        Optional<GenerationOwner> owner = ownerOf(node);
        if (owner.isPresent()) {
            for (InstanceRef peer : owner.get().peers()) {
                boolean open = owner.get().needsOpen(peer);
                owner.get()
                        .nextAppend(peer, true)
                        .ifPresent(
                                append ->
                                        mailbox.add(
                                                new Message(
                                                        node.copy.replicas().members().get(0),
                                                        peer,
                                                        open,
                                                        append,
                                                        null)));
            }
        }
    }

    void timeOutAppends(Node node) {
        ownerOf(node).ifPresent(owner -> owner.peers().forEach(owner::onNoReply));
    }

    void deliverMessage(int pick, boolean keep) {
        if (!mailbox.isEmpty()) {
            int index = pick % mailbox.size();
            receive(keep ? mailbox.get(index) : mailbox.remove(index));
        }
    }

    /** Runs some steps of an instance without faults, so that the generation makes progress. */
    void runWithoutFaults(Node node, int pick) {
        applyEvents(node, 2);
        deliverToken(node, pick);
        sendAppends(node);
        for (int i = 0; i < 2 + pick % 5; i++) {
            deliverMessage(0, false);
        }
        readAndCheck(node, 0);
    }

    void dropMessage(int pick) {
        if (!mailbox.isEmpty()) {
            mailbox.remove(pick % mailbox.size());
        }
    }

    void deliverAll() {
        while (!mailbox.isEmpty()) {
            receive(mailbox.remove(0));
        }
    }

    private void receive(Message msg) {
        Node node = nodes.stream().filter(n -> n.id.equals(msg.to().id())).findFirst().get();
        // A process that has restarted does not reply to messages for an earlier incarnation.
        if (!node.running || !node.incarnations.contains(msg.to())) {
            return;
        }
        if (msg.reply() != null) {
            GenerationOwner.ReplyEffect effect =
                    ownerOf(node)
                            .map(owner -> owner.onReply(msg.from(), msg.reply()))
                            .orElse(GenerationOwner.ReplyEffect.NONE);
            if (effect == GenerationOwner.ReplyEffect.STEP_DOWN) {
                node.copy.stepDown();
            }
            if (node.appliedEvents < eventLog.size()) {
                checkActivations();
            }
            return;
        }
        if (node.copy == null && msg.open()) {
            node.copy = GenerationCopy.opened(spec, msg.append().epoch());
        }
        GenerationAppendReply reply =
                node.copy == null
                        ? new GenerationAppendReply(
                                spec.id(),
                                GenerationAppendReply.Status.UNKNOWN,
                                msg.append().epoch(),
                                0,
                                0)
                        : node.copy.onAppend(msg.append(), eventsOf(node), node.incarnations);
        mailbox.add(new Message(msg.to(), msg.from(), false, null, reply));
    }

    private List<MembershipEvent> eventsOf(Node node) {
        return eventLog.subList(0, node.appliedEvents);
    }

    void applyEvents(Node node, int events) {
        if (!node.running || node.eventsPaused) {
            return;
        }
        node.appliedEvents = Math.min(eventLog.size(), node.appliedEvents + events);
        if (node.copy != null) {
            node.copy.applyEvents(eventsOf(node), node.incarnations);
            if (node.appliedEvents < eventLog.size()) {
                checkActivations();
            }
        }
    }

    /** Sets whether an instance stops applying membership events; it still receives messages. */
    void setEventsPaused(Node node, boolean paused) {
        node.eventsPaused = paused;
    }

    void evict(List<Node> batch) {
        checkActivations();
        List<InstanceRef> refs = new ArrayList<>();
        for (Node node : batch) {
            InstanceRef ref = live.remove(node.id);
            if (ref != null) {
                refs.add(ref);
            }
        }
        if (!refs.isEmpty()) {
            eventLog.add(new MembershipEvent.Evicted(nextLogIndex++, refs, "test"));
        }
    }

    private boolean isActiveMember(Node node) {
        return node.copy != null
                && node.copy.isActive()
                && node.copy.replicas().apply(eventLog).members().stream()
                        .anyMatch(node.incarnations::contains);
    }

    private boolean hasActiveCopy(Node node) {
        return isActiveMember(node)
                || (node.copy != null
                        && node.copy.isActive()
                        && node.copy.replicas().apply(eventLog).pending().stream()
                                .anyMatch(node.incarnations::contains));
    }

    void evictStopped() {
        evict(nodes.stream().filter(node -> !node.running).toList());
    }

    /** Sets the flag if some copy lists a member that is not active yet or has no copy. */
    private void checkActivations() {
        changedDuringActivation |=
                nodes.stream()
                        .filter(node -> node.copy != null)
                        .flatMap(node -> node.copy.replicas().members().stream())
                        .anyMatch(
                                member ->
                                        nodes.stream()
                                                .filter(n -> n.incarnations.contains(member))
                                                .anyMatch(
                                                        n -> n.copy == null || !n.copy.isActive()));
    }

    /** Joins with a new incarnation; {@code retained} if the process has not restarted. */
    void join(Node node, boolean retained) {
        checkActivations();
        long incarnation = lastIncarnations.merge(node.id, 1L, Long::sum);
        Optional<InstanceRef> earlier =
                retained && node.ref != null ? Optional.of(node.ref) : Optional.empty();
        node.ref = new InstanceRef(node.id, incarnation);
        node.incarnations.add(node.ref);
        live.put(node.id, node.ref);
        eventLog.add(new MembershipEvent.Joined(nextLogIndex++, node.ref, earlier));
    }

    void rejoin(Node node) {
        if (node.running && !node.ref.equals(live.get(node.id))) {
            join(node, true);
        } else if (!node.running) {
            node.running = true;
            node.appliedEvents = 0;
            join(node, false);
        }
    }

    /** Crashes a process, unless no other process is an active member. */
    void crash(Node node) {
        boolean otherMemberExists = nodes.stream().anyMatch(n -> n != node && isActiveMember(n));
        if (!otherMemberExists) {
            return;
        }
        node.running = false;
        node.copy = null;
        node.incarnations.clear();
        node.connections.clear();
    }

    void addReplica(Node node, Node peer) {
        ownerOf(node)
                .filter(owner -> owner.peers().size() < 2)
                .filter(owner -> !node.incarnations.contains(peer.ref))
                .filter(owner -> peer.ref.equals(live.get(peer.id)))
                .ifPresent(owner -> owner.addLearner(peer.ref));
    }

    /** Drops an incomplete copy that is no longer needed, as the service does after a delay. */
    void dropIdleCopy(Node node) {
        if (node.copy != null
                && !node.copy.log().complete()
                && !(node.copy.isActive() && node.copy.mustBeKept(node.incarnations))) {
            node.copy = null;
        }
    }

    private static Optional<GenerationOwner> ownerOf(Node node) {
        return node.copy == null ? Optional.empty() : node.copy.owner();
    }

    void startAttempt(Node node, String engine, boolean speculative) {
        Optional<GenerationOwner> owner = ownerOf(node);
        if (owner.isEmpty() || node.copy.log().ended()) {
            return;
        }
        AttemptRecord attempt = owner.get().beginAttempt(engine, engine, speculative);
        GenerationLog output = node.copy.log();
        List<String> prefix = output.read(0, output.tokenCount(), Integer.MAX_VALUE);
        Map<Integer, Stream> streams = engines.get(engine);
        if (!streams.containsKey(attempt.attempt())) {
            streams.put(attempt.attempt(), new Stream(prefix));
            node.connections.add(
                    new Connection(owner.get().epoch(), attempt.attempt(), engine, prefix.size()));
        }
    }

    void reattach(Node node) {
        Optional<GenerationOwner> owner = ownerOf(node);
        if (owner.isEmpty() || owner.get().attempt().attempt() == 0) {
            return;
        }
        AttemptRecord attempt = owner.get().attempt();
        Stream stream = engines.get(attempt.endpoint()).get(attempt.attempt());
        long from = node.copy.log().tokenCount();
        if (stream != null && from <= stream.tokens.size()) {
            node.connections.add(
                    new Connection(
                            owner.get().epoch(), attempt.attempt(), attempt.endpoint(), from));
        }
    }

    /** Delivers the next token, or the end of the output, on one connection of an instance. */
    void deliverToken(Node node, int pick) {
        if (!node.running || node.connections.isEmpty()) {
            return;
        }
        Connection connection = node.connections.get(pick % node.connections.size());
        Stream stream = engines.get(connection.engine).get(connection.attempt);
        if (stream == null) {
            node.connections.remove(connection);
            return;
        }
        Optional<GenerationOwner> owner = ownerOf(node).filter(o -> o.epoch() == connection.epoch);
        if (connection.nextOffset == stream.tokens.size()) {
            if (stream.ended || connection.nextOffset == MAX_TOKENS) {
                owner.ifPresent(o -> o.offerEnd(connection.attempt, connection.nextOffset, "stop"));
                return;
            }
            generateToken(stream, pick);
            if (stream.ended) {
                return;
            }
        }
        String token = stream.tokens.get((int) connection.nextOffset);
        owner.ifPresent(o -> o.offer(connection.attempt, connection.nextOffset, token));
        connection.nextOffset++;
    }

    private void generateToken(Stream stream, int pick) {
        if (stream.tokens.size() > 4 && pick % 17 == 0) {
            stream.ended = true;
            return;
        }
        String token = "t" + nextTokenNumber++;
        String before = stream.tokens.isEmpty() ? "" : stream.tokens.get(stream.tokens.size() - 1);
        previousToken.put(token, before);
        stream.tokens.add(token);
    }

    void crashEngine(String engine) {
        engines.get(engine).clear();
    }

    /** Reads as a caller from an instance and checks the tokens against all earlier reads. */
    void readAndCheck(Node node, int fromOffset) {
        if (!node.running || node.copy == null) {
            return;
        }
        GenerationLog output = node.copy.log();
        long from = Math.min(fromOffset, output.committedTokenCount());
        List<String> tokens = output.read(from, output.committedTokenCount(), Integer.MAX_VALUE);
        for (int i = 0; i < tokens.size(); i++) {
            String before = deliveredTokens.putIfAbsent(from + i, tokens.get(i));
            assertThat(before == null || before.equals(tokens.get(i)))
                    .as("token at offset %d was %s and is now %s", from + i, before, tokens.get(i))
                    .isTrue();
            String previous = i == 0 ? deliveredTokens.get(from - 1) : tokens.get(i - 1);
            if (previous != null) {
                assertThat(previousToken.get(tokens.get(i)))
                        .as("tokens of two different streams are joined at offset %d", from + i)
                        .isEqualTo(previous);
            }
        }
        if (output.complete()) {
            String outcome = output.tokenCount() + " " + output.finishReason();
            assertThat(finalOutcome.isEmpty() || finalOutcome.equals(outcome))
                    .as("the output ended with '%s' and now with '%s'", finalOutcome, outcome)
                    .isTrue();
            finalOutcome = outcome;
        }
        assertThat(deliveredTokens.size() <= MAX_TOKENS).isTrue();
    }

    /** Ends all faults, lets the remaining processes finish and checks the output. */
    void recoverAndCheck() {
        boolean activeCopyRemains = nodes.stream().anyMatch(this::hasActiveCopy);
        evictStopped();
        nodes.forEach(node -> setEventsPaused(node, false));
        nodes.forEach(this::rejoin);
        for (int round = 0; round < 60; round++) {
            for (Node node : nodes) {
                applyEvents(node, eventLog.size());
                timeOutAppends(node);
                if (ownerOf(node).isPresent() && !node.copy.log().ended()) {
                    if (round % 10 == 0) {
                        startAttempt(node, "e1", false);
                    }
                    deliverToken(node, Math.max(0, node.connections.size() - 1));
                }
                sendAppends(node);
                deliverAll();
                readAndCheck(node, 0);
            }
        }
        // Completion is not required if membership changed during an activation: a member whose
        // predecessors are all evicted cannot know whether one of them continued without it.
        if (activeCopyRemains && !changedDuringActivation) {
            assertThat(finalOutcome)
                    .as(
                            "active copy remained but output is not complete: %s, log %s",
                            this, eventLog)
                    .isNotEmpty();
            Node complete =
                    nodes.stream()
                            .filter(n -> n.copy != null && n.copy.log().complete())
                            .findFirst()
                            .get();
            GenerationLog output = complete.copy.log();
            assertThat(List.copyOf(deliveredTokens.values()))
                    .isEqualTo(output.read(0, output.tokenCount(), Integer.MAX_VALUE));
            assertThat(List.copyOf(deliveredTokens.keySet())).startsWith(0L);
        }
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Node node : nodes) {
            text.append(node.ref).append(node.running ? "" : " down");
            if (node.copy != null) {
                text.append(node.copy.owner().isPresent() ? " owner " : " replica ")
                        .append(node.copy.isActive() ? "active " : "")
                        .append(node.copy.log().length())
                        .append(" entries, ")
                        .append(node.copy.log().committedLength())
                        .append(" committed, ")
                        .append(node.copy.replicas());
            }
            text.append("; ");
        }
        return text.toString();
    }
}
