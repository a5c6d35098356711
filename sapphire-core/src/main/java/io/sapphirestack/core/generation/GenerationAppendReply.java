package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.GenerationId;
import java.util.Objects;

/**
 * Reply of a replica to a {@link GenerationAppend}.
 *
 * @param generation identifier
 * @param status result of the append
 * @param epoch epoch of the append, or the higher epoch because of which it was refused
 * @param length number of entries that the replica holds, or for {@link Status#GAP} the offset from
 *     which the owner must send
 * @param headerVersion version of the header that the replica holds in this epoch
 */
public record GenerationAppendReply(
        GenerationId generation, Status status, long epoch, long length, long headerVersion) {

    /** Result of an append. */
    public enum Status {
        /** The entries are stored. */
        STORED,
        /** Nothing was stored, because earlier entries or the header are missing. */
        GAP,
        /** Nothing was stored, because the replica knows an owner with a higher epoch. */
        STALE_EPOCH,
        /** The instance has no copy; the owner must create one before it sends appends. */
        UNKNOWN
    }

    /** Checks the components for {@code null}. */
    public GenerationAppendReply {
        Objects.requireNonNull(generation, "generation");
        Objects.requireNonNull(status, "status");
    }
}
