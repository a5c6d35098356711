package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.GenerationId;
import java.util.Objects;

/**
 * Answer of a replica to an append.
 *
 * @param generation identifier
 * @param status outcome
 * @param epoch epoch of the append, or the higher one for which it was refused
 * @param length entries that the replica holds, or for {@link Status#GAP} the offset to send from
 * @param headerVersion version of the header that the replica holds in this epoch
 */
public record AppendReply(
        GenerationId generation, Status status, long epoch, long length, long headerVersion) {

    /** Outcome of an append. */
    public enum Status {
        /** The entries are stored. */
        STORED,
        /** Nothing was stored, because entries or the header before these are missing. */
        GAP,
        /** Nothing was stored, because the replica knows a later owner. */
        STALE_EPOCH,
        /** The instance holds no copy; it must be opened first. */
        UNKNOWN
    }

    /** Checks the components. */
    public AppendReply {
        Objects.requireNonNull(generation, "generation");
        Objects.requireNonNull(status, "status");
    }
}
