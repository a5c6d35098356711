import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** One HTTP/1.1 message as it was read from a connection. */
record Message(String startLine, Map<String, String> fields, byte[] body) {

    /** Reads a message; empty if the connection ends before its first byte. */
    static Optional<Message> read(InputStream in, boolean isResponse) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return Optional.empty();
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return Optional.of(new Message(startLine, fields, readBody(in, fields, isResponse)));
    }

    private static byte[] readBody(InputStream in, Map<String, String> fields, boolean isResponse)
            throws IOException {
        String coding = fields.getOrDefault("Transfer-Encoding", "");
        if (coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            return readChunks(in);
        }
        if (fields.containsKey("Content-Length")) {
            return readExactly(in, Integer.parseInt(fields.get("Content-Length")));
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            if (size == 0) {
                while (!readLine(in).isEmpty()) {
                    // Trailer fields are not used.
                }
                return body.toByteArray();
            }
            body.write(readExactly(in, size));
            readLine(in);
        }
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    /** Returns the next line without its end, or null if the connection ends before it. */
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int octet = in.read(); octet != '\n'; octet = in.read()) {
            if (octet < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            line.write(octet);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
