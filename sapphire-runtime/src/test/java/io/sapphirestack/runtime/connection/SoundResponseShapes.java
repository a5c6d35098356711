package io.sapphirestack.runtime.connection;

import static io.sapphirestack.runtime.connection.ResponseShapes.BODY;
import static io.sapphirestack.runtime.connection.ResponseShapes.CHUNK_SIZE;
import static io.sapphirestack.runtime.connection.ResponseShapes.LENGTH;
import static io.sapphirestack.runtime.connection.ResponseShapes.STATUS;
import static io.sapphirestack.runtime.connection.ResponseShapes.chunked;
import static io.sapphirestack.runtime.connection.ResponseShapes.response;
import static io.sapphirestack.runtime.connection.ResponseShapes.shape;
import static io.sapphirestack.runtime.connection.ResponseShapes.shapes;

import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Responses of unusual looks that follow the grammar of HTTP, as octets; with the status and the
 * body of {@link ResponseShapes}.
 */
public final class SoundResponseShapes {

    private SoundResponseShapes() {}

    /** Sound responses of unusual looks; the caller gets each of them. */
    public static Stream<Shape> all() {
        return Stream.of(statusLines(), fieldLines(), lengths(), chunks())
                .flatMap(shapes -> shapes);
    }

    private static Stream<Shape> statusLines() {
        Stream<Shape> lines =
                shapes(
                        "status line",
                        Stream.of(
                                "HTTP/1.1 200",
                                "HTTP/1.1 200 ",
                                "HTTP/1.1  200  OK ",
                                "HTTP/1.1\t200\tOK",
                                " HTTP/1.1 200 OK",
                                "HTTP/1.1 200 a:b, \"c\" (d)\t\u0080\u00ff",
                                "HTTP/1.1 200 200",
                                "HTTP/1.0 200 OK",
                                "HTTP/1.9 200 OK",
                                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
                                "HTTP/1.1 103\r\nLink: <a>; b\r\nX-N:\r\n\r\nHTTP/1.1 200 OK",
                                "HTTP/1.1 100\n\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK"),
                        response("%%", "@@" + LENGTH, BODY));
        Shape lineFeeds =
                shape(
                        "head",
                        "without CR",
                        "HTTP/1.1 200 OK\n@@X-Note: v\n" + LENGTH + "\n\n" + BODY);
        return Stream.concat(lines, Stream.of(lineFeeds));
    }

    private static Stream<Shape> fieldLines() {
        return shapes(
                "field line",
                Stream.of(
                        "!#$%&'*+-.^_`|~059azAZ: v",
                        "x: v",
                        "X-Note:",
                        "X-Note: ",
                        "X-Note:v",
                        "X-Note: \t v\t ",
                        "X-Note: : a:b",
                        "X-Note: \"(),/;<=>?@[\\]{}\" \t\u0080\u00ff",
                        "X-Note: v\r\nX-Note: w",
                        "Vary: , a,, b ,",
                        "Connection: , keep-alive ,,",
                        "Transfer-Encodings: gzip",
                        "Content-Lengths: x",
                        "X-Content-Length: 5"),
                response(STATUS, "@@%%\r\n" + LENGTH, BODY));
    }

    private static Stream<Shape> lengths() {
        int n = BODY.length();
        String chunks = CHUNK_SIZE + "\r\n" + BODY + "\r\n0\r\n\r\n";
        Stream<Shape> lengths =
                shapes(
                        "length",
                        Stream.of(
                                "Content-Length:" + n,
                                "content-length: \t" + n + " \t",
                                "CONTENT-LENGTH: 000" + n,
                                "Content-Length: 0000000000000000000000" + n,
                                "X-Note: without a length"),
                        response(STATUS, "@@%%", BODY));
        Stream<Shape> codings =
                shapes(
                        "transfer coding",
                        Stream.of("chunked", "CHUNKED", "\t Chunked \t", "chunked ,", ", chunked"),
                        response(STATUS, "@@transfer-encoding:%%", chunks));
        return Stream.concat(lengths, codings);
    }

    private static Stream<Shape> chunks() {
        Stream<Shape> sizes =
                shapes(
                        "chunk size",
                        Stream.of(
                                CHUNK_SIZE,
                                CHUNK_SIZE.toUpperCase(Locale.ROOT),
                                "0" + CHUNK_SIZE,
                                "00000000000000000000000000" + CHUNK_SIZE,
                                CHUNK_SIZE + ";a",
                                CHUNK_SIZE + ";a=b;c",
                                CHUNK_SIZE + " \t;\ta = b ;c",
                                CHUNK_SIZE + ";a=\"\"",
                                CHUNK_SIZE + ";a=\"b;c\\\"\\\\\t\u00ff\";d"),
                        chunked("%%\r\n" + BODY + "\r\n0\r\n\r\n"));
        Stream<Shape> ends =
                shapes(
                        "last chunk",
                        Stream.of(
                                "000\r\n\r\n",
                                "0;a=b\r\n\r\n",
                                "0\r\nX-Note: v\r\nX-Empty:\r\n\r\n",
                                "0\r\nContent-Length: 5\r\n\r\n"),
                        chunked(CHUNK_SIZE + "\r\n" + BODY + "\r\n%%"));
        Shape parts =
                shape("chunk", "of one octet", chunked("1\r\ni\r\n" + rest() + "0;\ta\r\n\r\n"));
        return Stream.of(sizes, ends, Stream.of(parts)).flatMap(shapes -> shapes);
    }

    private static String rest() {
        return Integer.toHexString(BODY.length() - 1) + "\r\n" + BODY.substring(1) + "\r\n";
    }
}
