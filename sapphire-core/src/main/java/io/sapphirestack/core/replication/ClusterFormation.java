package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.FormationQuery;
import io.sapphirestack.core.replication.ReplicationMessage.FormationReply;
import io.sapphirestack.core.replication.ReplicationMessage.LearnerRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;

/**
 * Brings a node without a place among the voters into a cluster.
 *
 * <p>A cluster is formed only when all voters that the settings name answer that they are empty;
 * the one with the lowest address forms it. If any voter holds a log, an empty node asks to be
 * caught up as a learner instead. Not thread-safe.
 */
final class ClusterFormation {

    private static final long QUERY_INTERVAL_MS = 200;

    /** Silence of leaders after which a voter asks whether it still is one, in milliseconds. */
    private static final long READMISSION_AFTER_MS = 1_500;

    private final NodeState state;
    private final long nonce;

    /** Identities of the empty voters that answered, by address. */
    private final Map<String, String> emptyVoters = new HashMap<>();

    private boolean foundLog;
    private long nextQueryMs;

    ClusterFormation(NodeState state) {
        this.state = state;
        this.nonce = state.random.nextLong();
        this.nextQueryMs = state.clock.nowMs();
    }

    /** Sends queries when they are due; returns whether the node has just formed a cluster. */
    boolean tick(long leaderHeardAtMs) {
        if (state.isVoter()) {
            if (state.clock.nowMs() - leaderHeardAtMs >= READMISSION_AFTER_MS) {
                askForReadmission();
            }
            return false;
        }
        if (canForm()) {
            form();
            return true;
        }
        long now = state.clock.nowMs();
        if (now >= nextQueryMs) {
            nextQueryMs = now + QUERY_INTERVAL_MS;
            others().forEach(this::sendQueries);
        }
        return false;
    }

    /**
     * Asks to be caught up, because a node that has not heard from a leader for long may have been
     * removed from the voters meanwhile.
     */
    private void askForReadmission() {
        long now = state.clock.nowMs();
        if (state.settings.growth().isOpen() && now >= nextQueryMs) {
            nextQueryMs = now + QUERY_INTERVAL_MS;
            others().forEach(this::sendLearnerRequest);
        }
    }

    private List<String> others() {
        return state.settings.growth().contacts().get().stream()
                .filter(address -> !address.equals(state.settings.address()))
                .toList();
    }

    private void sendLearnerRequest(String address) {
        state.queue.sendWhenDurable(state.message("", address, new LearnerRequest()));
    }

    void onQuery(VoterMessage from, FormationQuery query) {
        FormationReply reply = new FormationReply(query.nonce(), state.log.isEmpty());
        state.queue.sendWhenDurable(state.message(from.fromVoter(), from.fromAddress(), reply));
    }

    void onReply(VoterMessage from, FormationReply reply) {
        if (reply.nonce() != nonce
                || !from.toVoter().equals(state.voterId)
                || !state.log.isEmpty()) {
            return;
        }
        if (reply.empty()) {
            emptyVoters.put(from.fromAddress(), from.fromVoter());
        } else {
            emptyVoters.remove(from.fromAddress());
            foundLog = true;
        }
    }

    private void sendQueries(String address) {
        if (state.log.isEmpty()) {
            state.queue.send(state.message("", address, new FormationQuery(nonce)));
        }
        if (foundLog || !state.log.isEmpty()) {
            sendLearnerRequest(address);
        }
    }

    private boolean canForm() {
        String own = state.settings.address();
        return state.log.isEmpty()
                && state.settings.growth().mayForm()
                && !foundLog
                && state.settings.voterAddresses().get(0).equals(own)
                && state.settings.voterAddresses().stream()
                        .allMatch(a -> a.equals(own) || emptyVoters.containsKey(a));
    }

    private void form() {
        Map<String, String> voters = new TreeMap<>();
        voters.put(state.voterId, state.settings.address());
        for (String address : state.settings.voterAddresses()) {
            if (!address.equals(state.settings.address())) {
                voters.put(emptyVoters.get(address), address);
            }
        }
        state.adoptCluster(new UUID(state.random.nextLong(), state.random.nextLong()).toString());
        state.raiseTerm(Math.max(1, state.term()), state.votedFor());
        state.appendLocal(new byte[0], Optional.of(new ClusterMembership(voters)));
    }
}
