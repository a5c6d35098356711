import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message with a body of a known length or in chunks, as read from a connection. */
record HttpMessage(String firstLine, List<String> lines, byte[] body) {

    /** Reads a message; returns null if the connection ends before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        List<String> lines = new ArrayList<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            lines.add(line);
        }
        HttpMessage head = new HttpMessage(first, lines, new byte[0]);
        byte[] body =
                head.header("Transfer-Encoding", "").equalsIgnoreCase("chunked")
                        ? readChunks(in)
                        : readBytes(in, Integer.parseInt(head.header("Content-Length", "0")));
        return new HttpMessage(first, lines, body);
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int length = -1;
        while (length != 0) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended within a body");
            }
            length = Integer.parseInt(line, 16);
            body.write(readBytes(in, length));
            readLine(in);
        }
        return body.toByteArray();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            line.write(b);
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Returns the value of a field as it was sent, each byte as one character. */
    String header(String name, String absent) {
        for (String line : lines) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return absent;
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
