package io.sapphirestack.core.quarantine;

import java.nio.ByteBuffer;

/**
 * Binary format of the entries of an {@link EvidenceTable}.
 *
 * @param <T> type of an entry
 */
interface EvidenceCodec<T> {

    /** Returns the encoded size of an entry, in bytes. */
    int sizeBytes(T entry);

    /** Appends an entry to a buffer. */
    void write(ByteBuffer out, T entry);

    /**
     * Reads the next entry.
     *
     * @throws java.nio.BufferUnderflowException if the entry is truncated
     * @throws IllegalArgumentException if the entry is malformed
     */
    T read(ByteBuffer in);
}
