package io.sapphirestack.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Buffer of a connection that passes all calls on to another one. */
public abstract class FilterInputBuffer implements SessionInputBuffer {

    private final SessionInputBuffer buffer;

    /**
     * Creates a buffer.
     *
     * @param buffer buffer that receives the calls
     */
    protected FilterInputBuffer(SessionInputBuffer buffer) {
        this.buffer = Objects.requireNonNull(buffer, "buffer");
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        return buffer.readLine(line, in);
    }

    @Override
    public int length() {
        return buffer.length();
    }

    @Override
    public int capacity() {
        return buffer.capacity();
    }

    @Override
    public int available() {
        return buffer.available();
    }

    @Override
    public int read(byte[] bytes, int offset, int length, InputStream in) throws IOException {
        return buffer.read(bytes, offset, length, in);
    }

    @Override
    public int read(byte[] bytes, InputStream in) throws IOException {
        return buffer.read(bytes, in);
    }

    @Override
    public int read(InputStream in) throws IOException {
        return buffer.read(in);
    }

    @Override
    public HttpTransportMetrics getMetrics() {
        return buffer.getMetrics();
    }
}
