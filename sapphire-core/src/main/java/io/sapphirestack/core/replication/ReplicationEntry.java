package io.sapphirestack.core.replication;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;
import java.util.Optional;

/**
 * Entry of the replicated log.
 *
 * @param index position in the log, starting at 1 without gaps
 * @param term term of the leader that appended the entry
 * @param timeMs wall clock time of the leader in milliseconds since the Unix epoch; never decreases
 *     from one entry to the next
 * @param command encoded command for the state machine, empty if the entry has none; must not be
 *     modified
 * @param membership new voters, or empty if the entry does not change them
 */
public record ReplicationEntry(
        long index,
        long term,
        long timeMs,
        byte[] command,
        Optional<ClusterMembership> membership) {

    /** Validates the components. */
    public ReplicationEntry {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(membership, "membership");
    }

    /** Returns the approximate encoded size that counts towards message limits, in bytes. */
    @JsonIgnore
    public int sizeBytes() {
        return command.length + 64;
    }
}
