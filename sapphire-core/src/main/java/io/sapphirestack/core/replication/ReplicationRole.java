package io.sapphirestack.core.replication;

/** Role of a node. */
public enum ReplicationRole {
    /** Follows a leader or waits for one; also the role of learners and empty nodes. */
    FOLLOWER,
    /** Asks whether an election would succeed. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Appends entries. */
    LEADER
}
