package io.sapphirestack.core.replication;

/** Role of a node in the replicated log. */
public enum ReplicationRole {
    /** Replicates the log of a leader or waits for one; also the role of learners and new nodes. */
    FOLLOWER,
    /** Runs a pre-vote to find out whether it could win an election. */
    PRE_CANDIDATE,
    /** Requests votes for itself. */
    CANDIDATE,
    /** Appends entries to the log and replicates them. */
    LEADER
}
