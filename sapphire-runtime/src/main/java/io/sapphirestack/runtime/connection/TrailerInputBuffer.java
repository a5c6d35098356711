package io.sapphirestack.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Buffer of a connection from which a chunked body is read. It counts the lines of the trailer; the
 * lines between chunks need no memory that lasts.
 */
final class TrailerInputBuffer extends MeteredInputBuffer {

    /** Lines without data between them that a chunked body has before its trailer. */
    private static final int FRAMING_LINES = 2;

    private final SessionInputBuffer buffer;
    private final HeadMeter meter;
    private int linesSinceData;

    TrailerInputBuffer(SessionInputBuffer buffer, HeadMeter meter) {
        super(buffer, meter);
        this.buffer = buffer;
        this.meter = meter;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        linesSinceData++;
        if (linesSinceData <= FRAMING_LINES) {
            int count = buffer.readLine(line, in);
            meter.countLineBuffer(count);
            return count;
        }
        if (linesSinceData == FRAMING_LINES + 1) {
            meter.beginLines(buffer.length());
        }
        int count = super.readLine(line, in);
        if (count <= 0) {
            // The trailer has ended; what follows belongs to the next request.
            meter.endLines(buffer.length());
        }
        return count;
    }

    @Override
    public int read(byte[] bytes, int offset, int length, InputStream in) throws IOException {
        linesSinceData = 0;
        return super.read(bytes, offset, length, in);
    }

    @Override
    public int read(InputStream in) throws IOException {
        linesSinceData = 0;
        return super.read(in);
    }
}
