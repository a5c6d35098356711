package io.sapphirestack.runtime.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Responses that are no HTTP, as octets, for each part of the grammar of RFC 9112, sections 4 to 7,
 * and RFC 9110, sections 5 and 8.6. All have the status 200 and the same body, which is one event
 * of a stream. {@link SoundResponseShapes} are those that follow the grammar.
 */
public final class ResponseShapes {

    /** Body of each response. */
    public static final String BODY = "id: 0\ndata: {\"token\":\"t\"}\n\n";

    /** Field lines that some test fails if one of them is passed on or obeyed. */
    public static final String TELLTALE = "X-Telltale: v\r\n";

    private static final int LAST_OCTET = 0xFF;
    private static final int SAMPLE_INTERVAL = 7;
    private static final String SEPARATORS = "\"(),/;<=>?@[\\]{}";
    static final String STATUS = "HTTP/1.1 200 OK";
    static final String LENGTH = "Content-Length: " + BODY.length();
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    static final String CHUNK_SIZE = Integer.toHexString(BODY.length());

    private ResponseShapes() {}

    /**
     * Response of an endpoint.
     *
     * @param name what is particular about it
     * @param template octets, in which {@code @@} stands for the fields that each response has
     */
    public record Shape(String name, String template) {

        /**
         * Returns the octets of the response, one character for each.
         *
         * @param fields fields that each response has, with line ends
         */
        public String octets(String fields) {
            return template.replace("@@", TELLTALE + fields);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Shape shape(String part, String text, String template) {
        StringBuilder name = new StringBuilder(part).append(' ');
        for (char c : text.toCharArray()) {
            name.append(c > ' ' && c < 0x7F ? String.valueOf(c) : "\\x%02x".formatted((int) c));
        }
        return new Shape(name.toString(), template);
    }

    static Stream<Shape> shapes(String part, Stream<String> texts, String template) {
        return texts.map(text -> shape(part, text, template.replace("%%", text)));
    }

    static String response(String statusLine, String fieldLines, String body) {
        return statusLine + "\r\n" + fieldLines + "\r\n\r\n" + body;
    }

    static String chunked(String body) {
        return response(STATUS, "@@" + CHUNKED, body);
    }

    private static Stream<String> octets(IntPredicate filter) {
        return IntStream.rangeClosed(0, LAST_OCTET).filter(filter).mapToObj(Character::toString);
    }

    private static boolean isControl(int octet) {
        return octet < ' ' || octet == 0x7F;
    }

    /** Octets that neither a name nor a reason phrase contains, except those that end a line. */
    private static Stream<String> controls() {
        return octets(octet -> isControl(octet) && octet != '\n' && octet != '\t');
    }

    /**
     * Octets that no field name contains, except those that end a name or a line. Of those above
     * ASCII, some stand for all.
     */
    private static Stream<String> octetsOutsideOfNames() {
        String others = " " + SEPARATORS + "\u0080\u00a0\u00b2\u00ff";
        return octets(octet -> isControl(octet) && octet != '\n' || others.indexOf(octet) >= 0);
    }

    /** Chooses some shapes of each kind, for tests that take longer. */
    public static Stream<Shape> sample(Stream<Shape> shapes) {
        List<Shape> all = shapes.toList();
        return IntStream.range(0, all.size())
                .filter(i -> i % SAMPLE_INTERVAL == 0)
                .mapToObj(all::get);
    }

    /** Heads that are no HTTP. The body of those that have no other length ends with them. */
    public static Stream<Shape> invalidHeads() {
        return Stream.of(
                        invalidStatusLines(),
                        invalidFieldLines(),
                        joinedLines(),
                        invalidLengths(),
                        invalidTransferCodings(),
                        invalidInterimHeads())
                .flatMap(shapes -> shapes);
    }

    /** Status lines that are none (RFC 9112, section 4). */
    public static Stream<Shape> invalidStatusLines() {
        Stream<String> reasons = controls().map(octet -> "HTTP/1.1 200 O" + octet + "K");
        Stream<String> lines =
                Stream.of(
                        "HTTP/1.1 200 \u0001",
                        "HTTP/1.1 200\u0001OK",
                        "\u0001HTTP/1.1 200 OK",
                        "http/1.1 200 OK",
                        "XHTTP/1.1 200 OK",
                        "HTTP /1.1 200 OK",
                        "HTTP/ 1.1 200 OK",
                        "HTTP/1.1200 OK",
                        "HTTP/11 200 OK",
                        "HTTP/1. 200 OK",
                        "HTTP/.1 200 OK",
                        "HTTP/+1.1 200 OK",
                        "HTTP/1.+1 200 OK",
                        "HTTP/01.1 200 OK",
                        "HTTP/1.01 200 OK",
                        "HTTP/1.10 200 OK",
                        "HTTP/1.1.1 200 OK",
                        "HTTP/0.9 200 OK",
                        "HTTP/2.0 200 OK",
                        "HTTP/3.1 200 OK",
                        "HTTP/1.1\u00a0200 OK",
                        "HTTP/1.1 200\u00a0OK",
                        "HTTP/1.1 +200 OK",
                        "HTTP/1.1 0200 OK",
                        "HTTP/1.1 20 OK",
                        "HTTP/1.1 000 OK",
                        "HTTP/1.1 600 OK",
                        "HTTP/1.1",
                        "HTTP/1.1 OK",
                        "\r\nHTTP/1.1 200 OK");
        return shapes(
                "status line", Stream.concat(reasons, lines), response("%%", "@@" + LENGTH, BODY));
    }

    /** Field lines that are none (RFC 9112, section 5.1; RFC 9110, section 5.1). */
    public static Stream<Shape> invalidFieldLines() {
        return Stream.of(
                        spoiltNames("length", "Content", "-Length: " + BODY.length()),
                        spoiltNames("coding", "Transfer-", "Encoding: chunked"),
                        spoiltNames("name", "X-No", "te: v\r\n" + LENGTH),
                        shapes(
                                "field line",
                                Stream.of(
                                        "X-Note",
                                        "v",
                                        ":",
                                        ": v",
                                        "X-Note : v",
                                        "X-Note\t: v",
                                        "X-Note\u0001: v",
                                        "\u0001X-Note: v",
                                        "\u0001",
                                        "\r",
                                        "\rX-Note: v",
                                        "Content-Length" + BODY.length(),
                                        "HTTP/1.1 200 OK"),
                                response(STATUS, "@@%%\r\n" + LENGTH, BODY)))
                .flatMap(shapes -> shapes);
    }

    private static Stream<Shape> spoiltNames(String part, String start, String end) {
        return shapes(
                "octet in " + part,
                octetsOutsideOfNames(),
                response(STATUS, "@@" + start + "%%" + end, BODY));
    }

    /** Lines that begin with a blank (RFC 9112, sections 2.2 and 5.2). */
    public static Stream<Shape> joinedLines() {
        List<Shape> shapes = new ArrayList<>();
        for (String blank : List.of(" ", "\t", " \t ")) {
            shapes.add(
                    shape(
                            "joined to a field",
                            blank,
                            response(STATUS, "@@X-Note: v\r\n" + blank + "w\r\n" + LENGTH, BODY)));
            shapes.add(
                    shape(
                            "joined to the length",
                            blank,
                            response(
                                    STATUS,
                                    "@@Content-Length:\r\n" + blank + BODY.length(),
                                    BODY)));
            shapes.add(
                    shape(
                            "length joined to a field",
                            blank,
                            response(STATUS, "@@X-Note: v\r\n" + blank + LENGTH, BODY)));
            shapes.add(
                    shape(
                            "joined to the status line",
                            blank,
                            response(STATUS, blank + "X: v\r\n@@" + LENGTH, BODY)));
            shapes.add(
                    shape(
                            "length joined to the status line",
                            blank,
                            response(STATUS, blank + LENGTH + "\r\n@@X-Note: v", BODY)));
            shapes.add(
                    shape(
                            "line of blanks only",
                            blank,
                            response(STATUS, "@@" + LENGTH + "\r\n" + blank, BODY)));
        }
        return shapes.stream();
    }

    /** Lengths that are none (RFC 9110, section 8.6; RFC 9112, section 6.3). */
    public static Stream<Shape> invalidLengths() {
        String n = Integer.toString(BODY.length());
        return shapes(
                "length",
                Stream.of(
                        "",
                        "+" + n,
                        "-" + n,
                        n + "x",
                        "x" + n,
                        "0x" + Integer.toHexString(BODY.length()),
                        n + ".0",
                        n + "e0",
                        "2 8",
                        n + ";",
                        n + "\u0001",
                        "\u0001" + n,
                        n + "\u0000",
                        "\u00b2",
                        n + "\u00a0",
                        n + ", 5",
                        "5, " + n,
                        n + "\r\nContent-Length: 5",
                        "5\r\ncontent-length: " + n,
                        "9223372036854775808",
                        "99999999999999999999999999"),
                response(STATUS, "@@Content-Length: %%", BODY));
    }

    /** Transfer codings that do not end a body (RFC 9112, sections 6.1, 6.3 and 7.1). */
    public static Stream<Shape> invalidTransferCodings() {
        String chunks = CHUNK_SIZE + "\r\n" + BODY + "\r\n0\r\n\r\n";
        Stream<Shape> codings =
                shapes(
                        "transfer coding",
                        Stream.of(
                                "",
                                ",",
                                "gzip",
                                "identity",
                                "gzip, chunked",
                                "chunked, gzip",
                                "chunked, chunked",
                                "chunked\r\nTransfer-Encoding: chunked",
                                "gzip\r\nTransfer-Encoding: chunked",
                                "chunked;q=1",
                                "chunked x",
                                "xchunked",
                                "\"chunked\"",
                                "chunked\u0001",
                                "\u000bchunked",
                                "chunked\r\n" + LENGTH,
                                "chunked\r\nContent-Length: 5"),
                        response(STATUS, "@@Transfer-Encoding: %%", chunks));
        Shape ofHttp10 =
                shape(
                        "transfer coding",
                        "of HTTP/1.0",
                        response("HTTP/1.0 200 OK", "@@" + CHUNKED, chunks));
        return Stream.concat(codings, Stream.of(ofHttp10));
    }

    /** Interim heads that are none, before a sound response (RFC 9112, sections 4 and 5). */
    public static Stream<Shape> invalidInterimHeads() {
        return shapes(
                "interim head",
                Stream.of(
                        "HTTP/1.1 100 Con\u0001tinue\r\n",
                        "HTTP/1.10 100 Continue\r\n",
                        "HTTP/1.1 099 X\r\n",
                        "HTTP/1.1 101 Switching Protocols\r\n",
                        "HTTP/1.1 100 Continue\r\nX No: v\r\n",
                        "HTTP/1.1 100 Continue\r\nX\u0001: v\r\n",
                        "HTTP/1.1 100 Continue\r\nX-Note\r\n",
                        "HTTP/1.1 100 Continue\r\nX-Note: v\r\n w\r\n",
                        "HTTP/1.1 100 Continue\r\n X-Note: v\r\n",
                        "HTTP/1.1 100 Continue\r\nContent-Length: x\r\n",
                        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: gzip\r\n"),
                "%%\r\n" + response(STATUS, "@@" + LENGTH, BODY));
    }

    /** Chunks and trailers that are none, after a sound head (RFC 9112, section 7.1). */
    public static Stream<Shape> invalidChunks() {
        Stream<Shape> sizes =
                shapes(
                        "chunk size",
                        Stream.of(
                                "",
                                "+" + CHUNK_SIZE,
                                "-" + CHUNK_SIZE,
                                "0x" + CHUNK_SIZE,
                                CHUNK_SIZE + "h",
                                CHUNK_SIZE + " ",
                                " " + CHUNK_SIZE,
                                "\t" + CHUNK_SIZE,
                                CHUNK_SIZE + "\u0001",
                                "\u0001" + CHUNK_SIZE,
                                CHUNK_SIZE + "\r",
                                CHUNK_SIZE + ",",
                                CHUNK_SIZE + " x",
                                ";a=b",
                                CHUNK_SIZE + ";",
                                CHUNK_SIZE + ";=b",
                                CHUNK_SIZE + ";a b",
                                CHUNK_SIZE + ";a=",
                                CHUNK_SIZE + ";a=b c",
                                CHUNK_SIZE + ";a=\u0001",
                                CHUNK_SIZE + ";a=\"b",
                                CHUNK_SIZE + ";a=\"b\"c",
                                CHUNK_SIZE + ";a=\"\u0001\"",
                                CHUNK_SIZE + ";a=\"\\\u0001\"",
                                "fffffffffffffffff"),
                        chunked("%%\r\n" + BODY + "\r\n0\r\n\r\n"));
        Stream<Shape> ends =
                shapes(
                        "chunk end",
                        Stream.of("", "x\r\n", " \r\n", "\n", "\r\n\r\n"),
                        chunked(CHUNK_SIZE + "\r\n" + BODY + "%%0\r\n\r\n"));
        Stream<Shape> lastChunks =
                shapes(
                        "last chunk",
                        Stream.of("-0", "+0", "0x0", "0 ", "", "0;a=\u0001"),
                        chunked(CHUNK_SIZE + "\r\n" + BODY + "\r\n%%\r\n\r\n"));
        Stream<Shape> lineEnds =
                Stream.of(
                        shape(
                                "chunk size",
                                "without CR",
                                chunked(CHUNK_SIZE + "\n" + BODY + "\r\n0\r\n\r\n")),
                        shape(
                                "last chunk",
                                "without CR",
                                chunked(CHUNK_SIZE + "\r\n" + BODY + "\r\n0\n\r\n")));
        return Stream.of(sizes, ends, lastChunks, lineEnds, invalidTrailers())
                .flatMap(shapes -> shapes);
    }

    private static Stream<Shape> invalidTrailers() {
        return shapes(
                "trailer",
                Stream.of(
                        "X No: v\r\n\r\n",
                        "X-No : v\r\n\r\n",
                        "X\u0001: v\r\n\r\n",
                        "X-Note\r\n\r\n",
                        ": v\r\n\r\n",
                        " X-Note: v\r\n\r\n",
                        "X-Note: v\r\n w\r\n\r\n",
                        "X-Note: v",
                        "X-Note: v\r\n",
                        "\r"),
                chunked(CHUNK_SIZE + "\r\n" + BODY + "\r\n0\r\n%%"));
    }
}
