package io.sapphirestack.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * HTTP/1.1 server connection whose heads and trailers take their memory from a budget, see {@link
 * HeadMeter}. Used by one thread, except that any thread may close it.
 */
public class MeteredServerConnection extends DefaultBHttpServerConnection {

    private final Http1Config config;
    private final HeadMeter meter;

    /**
     * Creates a connection and binds it to a socket.
     *
     * @param socket connected socket
     * @param config limits of lines; the number of header fields should not be limited
     * @param meter memory of the heads and trailers
     * @throws IOException if the socket is closed
     */
    public MeteredServerConnection(TrackedSocket socket, Http1Config config, HeadMeter meter)
            throws IOException {
        super(
                "http",
                config,
                null,
                HeadCharset.encoder(),
                null,
                null,
                ignored -> new MeteredParser(config, meter),
                null);
        this.config = config;
        this.meter = meter;
        socket.guardedInput().setByteCounter(meter::countArrived);
        bind(socket);
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        return length == ContentLengthStrategy.CHUNKED
                ? new ChunkedInputStream(new TrailerInputBuffer(buffer, meter), in, config)
                : super.createContentInputStream(length, buffer, in);
    }

    /** Parser of heads. The parser of the library is not reused, because it keeps its lists. */
    private record MeteredParser(Http1Config config, HeadMeter meter)
            implements HttpMessageParser<ClassicHttpRequest> {

        @Override
        public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in)
                throws IOException, HttpException {
            meter.beginLines(buffer.length());
            try {
                return new DefaultHttpRequestParser(config)
                        .parse(new MeteredInputBuffer(buffer, meter), in);
            } finally {
                meter.endLines(buffer.length());
            }
        }
    }
}
