package io.sapphirestack.core.generation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Stores token texts in one byte array, which needs about a third of the memory of separate
 * strings. Not thread-safe.
 */
final class TokenStore {

    private byte[] utf8 = new byte[256];
    private int[] endOffsets = new int[32];
    private int size;

    int size() {
        return size;
    }

    int sizeBytes() {
        return utf8.length + endOffsets.length * Integer.BYTES;
    }

    void add(String token) {
        byte[] encoded = token.getBytes(StandardCharsets.UTF_8);
        int start = endOffset(size);
        if (start + encoded.length > utf8.length) {
            utf8 = Arrays.copyOf(utf8, Math.max(utf8.length * 2, start + encoded.length));
        }
        if (size == endOffsets.length) {
            endOffsets = Arrays.copyOf(endOffsets, size * 2);
        }
        System.arraycopy(encoded, 0, utf8, start, encoded.length);
        endOffsets[size++] = start + encoded.length;
    }

    void truncate(int newSize) {
        size = Math.min(size, newSize);
    }

    /**
     * Returns the tokens from {@code from} (inclusive) to {@code to} (exclusive) that fit into
     * {@code maxBytes} of UTF-8. The first one is returned even if it exceeds the limit.
     */
    List<String> read(int from, int to, int maxBytes) {
        List<String> tokens = new ArrayList<>(Math.max(0, to - from));
        for (int i = from; i < to; i++) {
            if (i > from && endOffsets[i] - endOffset(from) > maxBytes) {
                break;
            }
            int start = endOffset(i);
            tokens.add(new String(utf8, start, endOffsets[i] - start, StandardCharsets.UTF_8));
        }
        return tokens;
    }

    void trim() {
        utf8 = Arrays.copyOf(utf8, endOffset(size));
        endOffsets = Arrays.copyOf(endOffsets, Math.max(1, size));
    }

    private int endOffset(int count) {
        return count == 0 ? 0 : endOffsets[count - 1];
    }
}
