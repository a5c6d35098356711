package io.sapphirestack.core.replication;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Payload of a message between nodes of the replicated log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ReplicationMessage.FormationQuery.class, name = "formationQuery"),
    @JsonSubTypes.Type(value = ReplicationMessage.FormationReply.class, name = "formationReply"),
    @JsonSubTypes.Type(value = ReplicationMessage.LearnerRequest.class, name = "learnerRequest"),
    @JsonSubTypes.Type(value = ReplicationMessage.VoteRequest.class, name = "voteRequest"),
    @JsonSubTypes.Type(value = ReplicationMessage.VoteReply.class, name = "voteReply"),
    @JsonSubTypes.Type(value = ReplicationMessage.AppendRequest.class, name = "appendRequest"),
    @JsonSubTypes.Type(value = ReplicationMessage.AppendReply.class, name = "appendReply"),
    @JsonSubTypes.Type(value = ReplicationMessage.SnapshotChunk.class, name = "snapshotChunk"),
    @JsonSubTypes.Type(value = ReplicationMessage.SnapshotReply.class, name = "snapshotReply"),
    @JsonSubTypes.Type(value = ReplicationMessage.TimeoutNow.class, name = "timeoutNow")
})
public sealed interface ReplicationMessage {

    /**
     * Sent by a node with an empty log to ask whether the log of the receiver is empty as well.
     *
     * @param nonce random number that the sender chooses when it starts, so that replies to a query
     *     from before a restart are ignored
     */
    record FormationQuery(long nonce) implements ReplicationMessage {}

    /**
     * Reply to a {@link FormationQuery}.
     *
     * @param nonce nonce of the query
     * @param empty whether the log of the sender is empty
     */
    record FormationReply(long nonce, boolean empty) implements ReplicationMessage {}

    /**
     * Sent by a node that is not a voter, or may have been removed from the voters, to ask the
     * leader to replicate the log to it.
     */
    record LearnerRequest() implements ReplicationMessage {}

    /**
     * Sent by a candidate to request a vote.
     *
     * @param preVote whether the request is a pre-vote, which only asks whether the receiver would
     *     grant its vote
     * @param term term of the election
     * @param lastIndex index of the last entry in the log of the sender
     * @param lastTerm term of that entry
     * @param transfer whether the leader requested this election to transfer its leadership
     */
    record VoteRequest(boolean preVote, long term, long lastIndex, long lastTerm, boolean transfer)
            implements ReplicationMessage {}

    /**
     * Reply to a {@link VoteRequest}.
     *
     * @param preVote whether the request was a pre-vote
     * @param term term of the election if granted, otherwise the current term of the sender
     * @param granted whether the vote is granted
     */
    record VoteReply(boolean preVote, long term, boolean granted) implements ReplicationMessage {}

    /**
     * Sent by the leader to replicate entries, or without entries as a heartbeat.
     *
     * @param term term of the leader
     * @param prevIndex index of the entry before the first one
     * @param prevTerm term of that entry
     * @param entries entries, empty for a heartbeat
     * @param commitIndex index of the last committed entry
     * @param round number of the leader's last heartbeat round
     */
    record AppendRequest(
            long term,
            long prevIndex,
            long prevTerm,
            List<ReplicationEntry> entries,
            long commitIndex,
            long round)
            implements ReplicationMessage {

        /** Makes an immutable copy of the list. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reply to an {@link AppendRequest}, or to the chunk that completes a snapshot.
     *
     * @param term current term of the sender
     * @param success whether the log of the sender contains the entry before the first one sent
     * @param matchIndex if successful, the index of the last matching and durable entry; otherwise
     *     the index of the last entry that may match
     * @param round heartbeat round of the request, 0 if the reply confirms none
     */
    record AppendReply(long term, boolean success, long matchIndex, long round)
            implements ReplicationMessage {}

    /**
     * Sent by the leader to transfer a part of a snapshot.
     *
     * @param term term of the leader
     * @param meta log position and voters of the snapshot
     * @param offset position of the first byte of this part in the snapshot
     * @param totalBytes size of the whole snapshot
     * @param data bytes of this part
     */
    record SnapshotChunk(long term, SnapshotMeta meta, long offset, long totalBytes, byte[] data)
            implements ReplicationMessage {}

    /**
     * Reply to a {@link SnapshotChunk}.
     *
     * @param term current term of the sender
     * @param index log index of the snapshot
     * @param receivedBytes number of bytes received without a gap
     */
    record SnapshotReply(long term, long index, long receivedBytes) implements ReplicationMessage {}

    /**
     * Sent by the leader to make the receiver start an election immediately.
     *
     * @param term term of the leader
     */
    record TimeoutNow(long term) implements ReplicationMessage {}
}
