package io.sapphirestack.core.replication;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;
import java.util.Optional;

/**
 * Entry of the replicated log.
 *
 * @param index position in the log, from 1 without gaps
 * @param term term of the leader that appended it
 * @param timeMs leader's wall clock in milliseconds since the Unix epoch, never decreasing
 * @param command command to the state machine, empty for an entry without one; treated as immutable
 * @param membership new voters, or empty unless the entry changes them
 */
public record ReplicationEntry(
        long index,
        long term,
        long timeMs,
        byte[] command,
        Optional<ClusterMembership> membership) {

    /** Checks the components. */
    public ReplicationEntry {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(membership, "membership");
    }

    /** Returns the size that counts against the bounds of messages, in bytes. */
    @JsonIgnore
    public int sizeBytes() {
        return command.length + 64;
    }
}
