package io.sapphirestack.runtime.connection;

import io.sapphirestack.http.FilterInputBuffer;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Buffer of a connection that counts each line before it reads it. */
class MeteredInputBuffer extends FilterInputBuffer {

    private final HeadMeter meter;

    MeteredInputBuffer(SessionInputBuffer buffer, HeadMeter meter) {
        super(buffer);
        this.meter = meter;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        meter.countLine();
        int count = super.readLine(line, in);
        meter.countLineBuffer(count);
        return count;
    }
}
