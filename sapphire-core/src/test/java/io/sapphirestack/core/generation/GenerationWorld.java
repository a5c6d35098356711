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
 * One generation on several instances: the real state machines, joined by a mailbox, a membership
 * log that each instance applies late, and engines that never give the same token twice.
 *
 * <p>The oracle is {@code delivered}: what any caller has read at an offset must never differ. Each
 * token also remembers the token before it in its engine's stream, so that a splice of two outputs
 * is visible.
 */
final class GenerationWorld {

    static final int MAX_TOKENS = 12;

    /** Process of an instance; loses its copy when it crashes. */
    static final class Node {
        final InstanceId id;
        InstanceRef ref;
        final Set<InstanceRef> lineage = new HashSet<>();
        GenerationCopy copy;
        int seenEvents;
        boolean up = true;
        boolean blind;
        final List<Connection> connections = new ArrayList<>();

        Node(String name) {
            this.id = InstanceId.of(name);
        }
    }

    /** Output of one attempt on one engine. */
    static final class Stream {
        final List<String> history;
        boolean ended;

        Stream(List<String> prefix) {
            this.history = new ArrayList<>(prefix);
        }
    }

    /** A reader of a stream; connections to old attempts stay open, so their tokens come late. */
    static final class Connection {
        final long epoch;
        final int attempt;
        final String engine;
        long next;

        Connection(long epoch, int attempt, String engine, long next) {
            this.epoch = epoch;
            this.attempt = attempt;
            this.engine = engine;
            this.next = next;
        }
    }

    private record Mail(
            InstanceRef from, InstanceRef to, boolean open, Append append, AppendReply reply) {}

    final List<Node> nodes = new ArrayList<>();
    final List<MembershipEvent> log = new ArrayList<>();
    final Map<InstanceId, InstanceRef> live = new HashMap<>();
    final Map<Long, String> delivered = new TreeMap<>();
    private final Map<InstanceId, Long> incarnations = new HashMap<>();
    private final List<Mail> mailbox = new ArrayList<>();
    private final Map<String, Map<Integer, Stream>> engines = new HashMap<>();
    private final Map<String, String> previousToken = new HashMap<>();
    private final GenerationSpec spec;
    private long nextIndex = 10;
    private int tokenNumber;
    private boolean lossWhileActivating;
    private String finalReason = "";

    GenerationWorld(int nodeCount) {
        for (int i = 1; i <= nodeCount; i++) {
            nodes.add(new Node("i" + i));
        }
        engines.put("e1", new HashMap<>());
        engines.put("e2", new HashMap<>());
        nodes.forEach(node -> join(node, false));
        nodes.forEach(node -> learn(node, log.size()));
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
        first.copy = GenerationCopy.accepted(spec, first.ref, nextIndex++);
        GenerationOwner owner = first.copy.owner().orElseThrow();
        owner.addLearner(nodes.get(1).ref);
        owner.addLearner(nodes.get(2).ref);
        for (int i = 0; i < 4; i++) {
            send(first);
            deliverAll();
        }
        assertThat(owner.isConfirmed(nodes.get(1).ref)).isTrue();
        assertThat(owner.isConfirmed(nodes.get(2).ref)).isTrue();
        startAttempt(first, "e1", false);
    }

    void send(Node node) {
        Optional<GenerationOwner> owner = ownerOf(node);
        if (owner.isPresent()) {
            for (InstanceRef peer : owner.get().peers()) {
                boolean open = owner.get().needsOpen(peer);
                owner.get()
                        .nextAppend(peer, true)
                        .ifPresent(
                                append ->
                                        mailbox.add(
                                                new Mail(
                                                        node.copy.replicas().members().get(0),
                                                        peer,
                                                        open,
                                                        append,
                                                        null)));
            }
        }
    }

    void timeOut(Node node) {
        ownerOf(node).ifPresent(owner -> owner.peers().forEach(owner::onNoReply));
    }

    void deliver(int pick, boolean keep) {
        if (!mailbox.isEmpty()) {
            int index = pick % mailbox.size();
            receive(keep ? mailbox.get(index) : mailbox.remove(index));
        }
    }

    /** Lets an instance work for a while without faults, so that runs make progress. */
    void work(Node node, int pick) {
        learn(node, 2);
        token(node, pick);
        send(node);
        for (int i = 0; i < 2 + pick % 5; i++) {
            deliver(0, false);
        }
        read(node, 0);
    }

    void drop(int pick) {
        if (!mailbox.isEmpty()) {
            mailbox.remove(pick % mailbox.size());
        }
    }

    void deliverAll() {
        while (!mailbox.isEmpty()) {
            receive(mailbox.remove(0));
        }
    }

    private void receive(Mail mail) {
        Node node = nodes.stream().filter(n -> n.id.equals(mail.to().id())).findFirst().get();
        // A process without the memory of the addressed incarnation does not answer for it.
        if (!node.up || !node.lineage.contains(mail.to())) {
            return;
        }
        if (mail.reply() != null) {
            GenerationOwner.Effect effect =
                    ownerOf(node)
                            .map(owner -> owner.onReply(mail.from(), mail.reply()))
                            .orElse(GenerationOwner.Effect.NONE);
            if (effect == GenerationOwner.Effect.STEP_DOWN) {
                node.copy.stepDown();
            }
            if (node.seenEvents < log.size()) {
                noteActivation();
            }
            return;
        }
        if (node.copy == null && mail.open()) {
            node.copy = GenerationCopy.opened(spec, mail.append().epoch());
        }
        AppendReply reply =
                node.copy == null
                        ? new AppendReply(
                                spec.id(), AppendReply.Status.UNKNOWN, mail.append().epoch(), 0, 0)
                        : node.copy.onAppend(mail.append(), seen(node), node.lineage);
        mailbox.add(new Mail(mail.to(), mail.from(), false, null, reply));
    }

    private List<MembershipEvent> seen(Node node) {
        return log.subList(0, node.seenEvents);
    }

    void learn(Node node, int events) {
        if (!node.up || node.blind) {
            return;
        }
        node.seenEvents = Math.min(log.size(), node.seenEvents + events);
        if (node.copy != null) {
            node.copy.applyEvents(seen(node), node.lineage);
            if (node.seenEvents < log.size()) {
                noteActivation();
            }
        }
    }

    /** Cuts an instance off from the membership log for a while, but not from the others. */
    void blind(Node node, boolean blind) {
        node.blind = blind;
    }

    void evict(List<Node> batch) {
        noteActivation();
        List<InstanceRef> refs = new ArrayList<>();
        for (Node node : batch) {
            InstanceRef ref = live.remove(node.id);
            if (ref != null) {
                refs.add(ref);
            }
        }
        if (!refs.isEmpty()) {
            log.add(new MembershipEvent.Evicted(nextIndex++, refs, "test"));
        }
    }

    private boolean isMember(Node node) {
        return node.copy != null
                && node.copy.active()
                && node.copy.replicas().apply(log).members().stream()
                        .anyMatch(node.lineage::contains);
    }

    private boolean isHolder(Node node) {
        return isMember(node)
                || (node.copy != null
                        && node.copy.active()
                        && node.copy.replicas().apply(log).pending().stream()
                                .anyMatch(node.lineage::contains));
    }

    void evictDead() {
        evict(nodes.stream().filter(node -> !node.up).toList());
    }

    /** Notes whether some holder counts on a member that does not know yet that it counts. */
    private void noteActivation() {
        lossWhileActivating |=
                nodes.stream()
                        .filter(node -> node.copy != null)
                        .flatMap(node -> node.copy.replicas().members().stream())
                        .anyMatch(
                                member ->
                                        nodes.stream()
                                                .filter(n -> n.lineage.contains(member))
                                                .anyMatch(n -> n.copy == null || !n.copy.active()));
    }

    /** Joins again with a new incarnation; a process that kept running keeps its memory. */
    void join(Node node, boolean retained) {
        noteActivation();
        long incarnation = incarnations.merge(node.id, 1L, Long::sum);
        Optional<InstanceRef> earlier =
                retained && node.ref != null ? Optional.of(node.ref) : Optional.empty();
        node.ref = new InstanceRef(node.id, incarnation);
        node.lineage.add(node.ref);
        live.put(node.id, node.ref);
        log.add(new MembershipEvent.Joined(nextIndex++, node.ref, earlier));
    }

    void rejoin(Node node) {
        if (node.up && !node.ref.equals(live.get(node.id))) {
            join(node, true);
        } else if (!node.up) {
            node.up = true;
            node.seenEvents = 0;
            join(node, false);
        }
    }

    /** Crashes a process unless it is the last one with a copy that may take over. */
    void crash(Node node) {
        boolean survivor = nodes.stream().anyMatch(n -> n != node && isMember(n));
        if (!survivor) {
            return;
        }
        node.up = false;
        node.copy = null;
        node.lineage.clear();
        node.connections.clear();
    }

    void addReplica(Node node, Node peer) {
        ownerOf(node)
                .filter(owner -> owner.peers().size() < 2)
                .filter(owner -> !node.lineage.contains(peer.ref))
                .filter(owner -> peer.ref.equals(live.get(peer.id)))
                .ifPresent(owner -> owner.addLearner(peer.ref));
    }

    /** Drops a copy that no longer takes part, as the service does after a while. */
    void dropIdle(Node node) {
        if (node.copy != null
                && !node.copy.log().complete()
                && !(node.copy.active() && node.copy.isHolder(node.lineage))) {
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
        if (stream != null && from <= stream.history.size()) {
            node.connections.add(
                    new Connection(
                            owner.get().epoch(), attempt.attempt(), attempt.endpoint(), from));
        }
    }

    /** One connection of an instance delivers its next token or end. */
    void token(Node node, int pick) {
        if (!node.up || node.connections.isEmpty()) {
            return;
        }
        Connection connection = node.connections.get(pick % node.connections.size());
        Stream stream = engines.get(connection.engine).get(connection.attempt);
        if (stream == null) {
            node.connections.remove(connection);
            return;
        }
        Optional<GenerationOwner> owner = ownerOf(node).filter(o -> o.epoch() == connection.epoch);
        if (connection.next == stream.history.size()) {
            if (stream.ended || connection.next == MAX_TOKENS) {
                owner.ifPresent(o -> o.offerEnd(connection.attempt, connection.next, "stop"));
                return;
            }
            generate(stream, pick);
            if (stream.ended) {
                return;
            }
        }
        String token = stream.history.get((int) connection.next);
        owner.ifPresent(o -> o.offer(connection.attempt, connection.next, token));
        connection.next++;
    }

    private void generate(Stream stream, int pick) {
        if (stream.history.size() > 4 && pick % 17 == 0) {
            stream.ended = true;
            return;
        }
        String token = "t" + tokenNumber++;
        String before =
                stream.history.isEmpty() ? "" : stream.history.get(stream.history.size() - 1);
        previousToken.put(token, before);
        stream.history.add(token);
    }

    void crashEngine(String engine) {
        engines.get(engine).clear();
    }

    /** A caller reads from any instance at any offset. */
    void read(Node node, int fromOffset) {
        if (!node.up || node.copy == null) {
            return;
        }
        GenerationLog output = node.copy.log();
        long from = Math.min(fromOffset, output.committedTokens());
        List<String> tokens = output.read(from, output.committedTokens(), Integer.MAX_VALUE);
        for (int i = 0; i < tokens.size(); i++) {
            String before = delivered.putIfAbsent(from + i, tokens.get(i));
            assertThat(before == null || before.equals(tokens.get(i)))
                    .as("offset %d was %s and is now %s", from + i, before, tokens.get(i))
                    .isTrue();
            String previous = i == 0 ? delivered.get(from - 1) : tokens.get(i - 1);
            if (previous != null) {
                assertThat(previousToken.get(tokens.get(i)))
                        .as("the output joins two different streams at offset %d", from + i)
                        .isEqualTo(previous);
            }
        }
        if (output.complete()) {
            String reason = output.tokenCount() + " " + output.finishReason();
            assertThat(finalReason.isEmpty() || finalReason.equals(reason))
                    .as("the output ended as '%s' and now as '%s'", finalReason, reason)
                    .isTrue();
            finalReason = reason;
        }
        assertThat(delivered.size() <= MAX_TOKENS).isTrue();
    }

    /** Ends all faults and gives the survivors time to finish. */
    void heal() {
        boolean holderSurvives = nodes.stream().anyMatch(this::isHolder);
        evictDead();
        nodes.forEach(node -> blind(node, false));
        nodes.forEach(this::rejoin);
        for (int round = 0; round < 60; round++) {
            for (Node node : nodes) {
                learn(node, log.size());
                timeOut(node);
                if (ownerOf(node).isPresent() && !node.copy.log().ended()) {
                    if (round % 10 == 0) {
                        startAttempt(node, "e1", false);
                    }
                    token(node, Math.max(0, node.connections.size() - 1));
                }
                send(node);
                deliverAll();
                read(node, 0);
            }
        }
        // An eviction of all members before a new one, while that one is being made active, is not
        // covered: it cannot know whether one of them continued without it.
        if (holderSurvives && !lossWhileActivating) {
            assertThat(finalReason)
                    .as("an active holder survived but nothing finished: %s, log %s", this, log)
                    .isNotEmpty();
            Node complete =
                    nodes.stream()
                            .filter(n -> n.copy != null && n.copy.log().complete())
                            .findFirst()
                            .get();
            GenerationLog output = complete.copy.log();
            assertThat(List.copyOf(delivered.values()))
                    .isEqualTo(output.read(0, output.tokenCount(), Integer.MAX_VALUE));
            assertThat(List.copyOf(delivered.keySet())).startsWith(0L);
        }
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Node node : nodes) {
            text.append(node.ref).append(node.up ? "" : " down");
            if (node.copy != null) {
                text.append(node.copy.owner().isPresent() ? " owner " : " replica ")
                        .append(node.copy.active() ? "active " : "")
                        .append(node.copy.log().length())
                        .append(" entries, ")
                        .append(node.copy.log().committed())
                        .append(" committed, ")
                        .append(node.copy.replicas());
            }
            text.append("; ");
        }
        return text.toString();
    }
}
