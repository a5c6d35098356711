package io.sapphirestack.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Chained hashes of the full blocks of a prompt. Equal hashes of a block mean equal prompts up to
 * the end of that block. Immutable.
 */
public final class PrefixHashes {

    /** Size of a block in bytes of UTF-8. */
    public static final int BLOCK_BYTES = 1_024;

    /** Hashes of work without a prompt. */
    public static final PrefixHashes NONE = new PrefixHashes(new long[0], 0);

    private final long[] hashes;
    private final int promptBytes;

    private PrefixHashes(long[] hashes, int promptBytes) {
        this.hashes = hashes;
        this.promptBytes = promptBytes;
    }

    /**
     * Hashes a prompt. The hash of a block is the 64-bit XXH3 of the previous block's hash (8
     * bytes, little endian, 0 for the first block) followed by the block.
     *
     * @param prompt prompt text
     * @return hashes of its full blocks; an incomplete last block has no hash
     */
    public static PrefixHashes of(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[bytes.length / BLOCK_BYTES];
        ByteBuffer chained =
                ByteBuffer.allocate(Long.BYTES + BLOCK_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        long previous = 0;
        for (int i = 0; i < hashes.length; i++) {
            chained.clear();
            chained.putLong(previous).put(bytes, i * BLOCK_BYTES, BLOCK_BYTES);
            previous = Hashing.xxh3_64().hashBytesToLong(chained.array());
            hashes[i] = previous;
        }
        return new PrefixHashes(hashes, bytes.length);
    }

    /** Returns the number of full blocks. */
    public int size() {
        return hashes.length;
    }

    /**
     * Returns the hash of the prefix that ends with a block.
     *
     * @param block index of the block, from 0
     * @return chained hash, unsigned 64 bits
     */
    public long hash(int block) {
        return hashes[block];
    }

    /** Returns the length of the prompt in bytes of UTF-8. */
    public int promptBytes() {
        return promptBytes;
    }

    /** Returns a copy of all hashes. */
    public long[] toArray() {
        return Arrays.copyOf(hashes, hashes.length);
    }
}
