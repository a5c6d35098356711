package io.sapphirestack.http;

import java.io.IOException;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Buffer from which one chunked body is read, with its trailer (RFC 9112, section 7.1). Lines of
 * chunks end with CR LF; section 2.2 allows LF alone only for those of fields.
 */
final class ChunkInputBuffer extends CheckedLineBuffer {

    /** Maximum size of a trailer in bytes. */
    private static final int MAX_TRAILER_BYTES = 65_536;

    /** Bytes that a line of a trailer counts for besides its characters. */
    private static final int LINE_BYTES = 64;

    private Part part = Part.SIZE;
    private int trailerBytes;

    /** Part of a chunked body to which a line belongs. */
    private enum Part {
        SIZE,
        END_OF_DATA,
        TRAILER
    }

    ChunkInputBuffer(SessionInputBuffer buffer, int maxLineBytes) {
        super(buffer, maxLineBytes);
    }

    @Override
    void check(CharArrayBuffer line, boolean hasCarriageReturn) throws IOException {
        if (part == Part.TRAILER) {
            checkTrailer(line);
            return;
        }
        if (!hasCarriageReturn) {
            throw new MalformedChunkCodingException("a line of a chunk does not end with CR LF");
        }
        if (part == Part.END_OF_DATA) {
            // The library rejects a line that is not empty.
            part = Part.SIZE;
            return;
        }
        if (!HttpSyntax.isChunkLine(line)) {
            throw new MalformedChunkCodingException("the size of a chunk is invalid");
        }
        part = HttpSyntax.isLastChunkLine(line) ? Part.TRAILER : Part.END_OF_DATA;
    }

    private void checkTrailer(CharArrayBuffer line) throws IOException {
        trailerBytes += line.length() + LINE_BYTES;
        if (trailerBytes > MAX_TRAILER_BYTES) {
            throw new MessageConstraintException("Maximum trailer size exceeded");
        }
        if (!line.isEmpty() && !HttpSyntax.isFieldLine(line)) {
            throw new MalformedChunkCodingException("a line of the trailer is no field");
        }
    }
}
