package io.sapphirestack.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.CharsetEncoder;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.message.BasicLineParser;

/**
 * HTTP/1.1 client connection that accepts only responses that follow the grammar of RFC 9112:
 * heads, also interim ones, with a {@link MalformedHeadException} otherwise, and chunked bodies
 * with their trailers, with an {@code MalformedChunkCodingException} of the library. After either,
 * nothing of the response may be used, and the connection must be closed. Used by one thread,
 * except that any thread may close it.
 */
public final class StrictClientConnection extends DefaultBHttpClientConnection {

    private final Http1Config config;

    /**
     * Creates a connection that is not bound to a socket yet.
     *
     * @param config limits of lines and of the number of fields
     * @param encoder encoder of the heads of requests, or {@code null} for US-ASCII
     */
    public StrictClientConnection(Http1Config config, CharsetEncoder encoder) {
        super(config, null, encoder, null, null, null, ignored -> new HeadParser(config));
        this.config = config;
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        return length == ContentLengthStrategy.CHUNKED
                ? new ChunkedInputStream(
                        new ChunkInputBuffer(buffer, config.getMaxLineLength()), in, config)
                : super.createContentInputStream(length, buffer, in);
    }

    /**
     * Parser of heads; like that of the library, it returns {@code null} if the connection ended
     * before the first line. A parser of the library keeps its state after a failure.
     */
    private record HeadParser(Http1Config config)
            implements HttpMessageParser<ClassicHttpResponse> {

        @Override
        public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
                throws IOException, HttpException {
            ClassicHttpResponse response =
                    new DefaultHttpResponseParser(
                                    config,
                                    BasicLineParser.INSTANCE,
                                    DefaultClassicHttpResponseFactory.INSTANCE)
                            .parse(new HeadInputBuffer(buffer, config.getMaxLineLength()), in);
            if (response != null) {
                requireValid(response);
            }
            return response;
        }

        private static void requireValid(ClassicHttpResponse response)
                throws MalformedHeadException {
            Optional<MessageFraming.Fault> fault = MessageFraming.faultOf(response);
            if (fault.isPresent()) {
                throw new MalformedHeadException(fault.get().description());
            }
            if (response.getCode() == HttpStatus.SC_SWITCHING_PROTOCOLS) {
                // No request asks for it, and what follows is no HTTP (RFC 9110, section 15.2.2).
                throw new MalformedHeadException("the server switched to another protocol");
            }
        }
    }
}
