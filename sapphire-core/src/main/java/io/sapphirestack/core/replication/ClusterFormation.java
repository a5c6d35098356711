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
 * Forms a new cluster, or joins an existing one, on behalf of a node that is not a voter.
 *
 * <p>A cluster is formed only after every configured voter has replied that its log is empty; the
 * voter with the lowest address then forms it. If any voter holds a log, the node asks the leader
 * to add it as a learner instead. Not thread-safe.
 */
final class ClusterFormation {

    /** Interval between two queries or learner requests, in milliseconds. */
    private static final long QUERY_INTERVAL_MS = 200;

    /**
     * Time without a message from a leader after which a voter requests readmission, in
     * milliseconds.
     */
    private static final long READMISSION_AFTER_MS = 1_500;

    private final NodeState state;
    private final long nonce;

    /** Identities of the voters that replied that their log is empty, by address. */
    private final Map<String, String> emptyVoters = new HashMap<>();

    private boolean foundExistingLog;
    private long nextQueryMs;

    ClusterFormation(NodeState state) {
        this.state = state;
        this.nonce = state.random.nextLong();
        this.nextQueryMs = state.clock.nowMs();
    }

    /**
     * Sends due queries, and forms a cluster once all conditions are met.
     *
     * @param lastLeaderContactMs time of the last contact with a leader on the monotonic clock, in
     *     milliseconds
     * @return whether this call formed a cluster
     */
    boolean tick(long lastLeaderContactMs) {
        if (state.isVoter()) {
            if (state.clock.nowMs() - lastLeaderContactMs >= READMISSION_AFTER_MS) {
                requestReadmission();
            }
            return false;
        }
        if (canFormCluster()) {
            formCluster();
            return true;
        }
        long now = state.clock.nowMs();
        if (now >= nextQueryMs) {
            nextQueryMs = now + QUERY_INTERVAL_MS;
            otherAddresses().forEach(this::sendQueries);
        }
        return false;
    }

    /**
     * Sends learner requests, because a voter without contact to a leader may have been removed
     * from the membership in the meantime.
     */
    private void requestReadmission() {
        long now = state.clock.nowMs();
        if (state.settings.voterPolicy().admitsNewVoters() && now >= nextQueryMs) {
            nextQueryMs = now + QUERY_INTERVAL_MS;
            otherAddresses().forEach(this::sendLearnerRequest);
        }
    }

    private List<String> otherAddresses() {
        return state.settings.voterPolicy().discoveryAddresses().get().stream()
                .filter(address -> !address.equals(state.settings.address()))
                .toList();
    }

    private void sendLearnerRequest(String address) {
        state.queue.sendWhenDurable(state.envelope("", address, new LearnerRequest()));
    }

    void onQuery(VoterMessage from, FormationQuery query) {
        FormationReply reply = new FormationReply(query.nonce(), state.log.isEmpty());
        state.queue.sendWhenDurable(state.envelope(from.fromVoter(), from.fromAddress(), reply));
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
            foundExistingLog = true;
        }
    }

    private void sendQueries(String address) {
        if (state.log.isEmpty()) {
            state.queue.send(state.envelope("", address, new FormationQuery(nonce)));
        }
        if (foundExistingLog || !state.log.isEmpty()) {
            sendLearnerRequest(address);
        }
    }

    private boolean canFormCluster() {
        String own = state.settings.address();
        return state.log.isEmpty()
                && state.settings.voterPolicy().mayFormCluster()
                && !foundExistingLog
                && state.settings.voterAddresses().get(0).equals(own)
                && state.settings.voterAddresses().stream()
                        .allMatch(a -> a.equals(own) || emptyVoters.containsKey(a));
    }

    private void formCluster() {
        Map<String, String> voters = new TreeMap<>();
        voters.put(state.voterId, state.settings.address());
        for (String address : state.settings.voterAddresses()) {
            if (!address.equals(state.settings.address())) {
                voters.put(emptyVoters.get(address), address);
            }
        }
        state.setClusterId(new UUID(state.random.nextLong(), state.random.nextLong()).toString());
        state.setTermAndVote(Math.max(1, state.term()), state.votedFor());
        state.appendLocal(new byte[0], Optional.of(new ClusterMembership(voters)));
    }
}
