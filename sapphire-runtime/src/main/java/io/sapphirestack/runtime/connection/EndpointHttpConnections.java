package io.sapphirestack.runtime.connection;

import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Creates the HTTP/1.1 connections to endpoints. */
public final class EndpointHttpConnections {

    private EndpointHttpConnections() {}

    /**
     * Creates a connection that is not bound to a socket yet. It sends the octets of heads
     * unchanged, see {@link HeadCharset}, and rejects a response whose status is not a number of
     * three digits from 100 to 599 (RFC 9110, section 15).
     *
     * @param config limits of the heads
     * @return connection
     */
    public static DefaultBHttpClientConnection create(Http1Config config) {
        return new DefaultBHttpClientConnection(
                config,
                null,
                HeadCharset.encoder(),
                null,
                null,
                null,
                new DefaultHttpResponseParserFactory(
                        config,
                        StatusLineParser.INSTANCE,
                        DefaultClassicHttpResponseFactory.INSTANCE));
    }

    /**
     * Parser of status lines. That of the library takes any number for a status: one below 100 for
     * an interim response, and one above 599 for a response that it cannot write to a caller.
     */
    private static final class StatusLineParser extends BasicLineParser {

        static final StatusLineParser INSTANCE = new StatusLineParser();

        private static final int STATUS_DIGITS = 3;
        private static final int MIN_STATUS = 100;
        private static final int MAX_STATUS = 599;

        StatusLineParser() {
            super(HttpVersion.HTTP_1_1);
        }

        @Override
        public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
            StatusLine parsed = super.parseStatusLine(line);
            int status = parsed.getStatusCode();
            if (status < MIN_STATUS
                    || status > MAX_STATUS
                    || countStatusDigits(line) != STATUS_DIGITS) {
                throw new ParseException("the status is not one of HTTP", line, 0, line.length());
            }
            return parsed;
        }

        /** Returns the number of digits of the second word, 0 if it is not a number. */
        private static int countStatusDigits(CharArrayBuffer line) {
            int position = skip(line, 0, false);
            position = skip(line, position, true);
            position = skip(line, position, false);
            int end = skip(line, position, true);
            for (int i = position; i < end; i++) {
                if (line.charAt(i) < '0' || line.charAt(i) > '9') {
                    return 0;
                }
            }
            return end - position;
        }

        /** Returns the position behind a word, or behind the space before one. */
        private static int skip(CharArrayBuffer line, int from, boolean word) {
            int position = from;
            while (position < line.length() && line.charAt(position) > ' ' == word) {
                position++;
            }
            return position;
        }
    }
}
