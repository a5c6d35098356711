package io.sapphirestack.core.replication;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Content of a message between voters. */
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
     * An empty node asks whether the receiver is empty, too.
     *
     * @param nonce random number of this run of the sender, so that answers to an earlier run do
     *     not count
     */
    record FormationQuery(long nonce) implements ReplicationMessage {}

    /**
     * Answer to a {@link FormationQuery}.
     *
     * @param nonce number of the query
     * @param empty whether the sender holds no log
     */
    record FormationReply(long nonce, boolean empty) implements ReplicationMessage {}

    /** A node that is not a voter asks the leader for the log. */
    record LearnerRequest() implements ReplicationMessage {}

    /**
     * A node asks for a vote.
     *
     * @param preVote whether the sender only asks if it would get the vote
     * @param term term of the election
     * @param lastIndex last entry of the sender's log
     * @param lastTerm term of that entry
     * @param transfer whether the leader asked for this election
     */
    record VoteRequest(boolean preVote, long term, long lastIndex, long lastTerm, boolean transfer)
            implements ReplicationMessage {}

    /**
     * Answer to a {@link VoteRequest}.
     *
     * @param preVote whether the request was a pre-vote
     * @param term term of the election if granted, else the current term of the sender
     * @param granted whether the vote is given
     */
    record VoteReply(boolean preVote, long term, boolean granted) implements ReplicationMessage {}

    /**
     * The leader sends entries or a heartbeat.
     *
     * @param term term of the leader
     * @param prevIndex entry before the first one
     * @param prevTerm term of that entry
     * @param entries entries, empty for a heartbeat
     * @param commitIndex last entry that is committed
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

        /** Copies the list. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answer to an {@link AppendRequest}.
     *
     * @param term current term of the sender
     * @param success whether the sender's log matches
     * @param matchIndex if it matches, the last entry that matches and is durable; else the entry
     *     to try next
     * @param round number in the request
     */
    record AppendReply(long term, boolean success, long matchIndex, long round)
            implements ReplicationMessage {}

    /**
     * The leader sends a part of a snapshot.
     *
     * @param term term of the leader
     * @param meta position and voters
     * @param offset first byte of this part
     * @param totalBytes size of the snapshot
     * @param data bytes of this part
     */
    record SnapshotChunk(long term, SnapshotMeta meta, long offset, long totalBytes, byte[] data)
            implements ReplicationMessage {}

    /**
     * Answer to a {@link SnapshotChunk}.
     *
     * @param term current term of the sender
     * @param index position of the snapshot
     * @param receivedBytes bytes received without a gap
     */
    record SnapshotReply(long term, long index, long receivedBytes) implements ReplicationMessage {}

    /**
     * The leader asks the receiver to start an election at once.
     *
     * @param term term of the leader
     */
    record TimeoutNow(long term) implements ReplicationMessage {}
}
