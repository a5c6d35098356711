package io.sapphirestack.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Buffer of a connection that counts each line before it reads it. */
class MeteredInputBuffer implements SessionInputBuffer {

    private final SessionInputBuffer buffer;
    private final HeadMeter meter;

    MeteredInputBuffer(SessionInputBuffer buffer, HeadMeter meter) {
        this.buffer = buffer;
        this.meter = meter;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        meter.countLine();
        int count = buffer.readLine(line, in);
        meter.countLineBuffer(count);
        return count;
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
