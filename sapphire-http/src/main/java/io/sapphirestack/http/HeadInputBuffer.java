package io.sapphirestack.http;

import java.io.IOException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Buffer from which the head of one response is read (RFC 9112, sections 4 and 5). */
final class HeadInputBuffer extends CheckedLineBuffer {

    private boolean hasStatusLine;

    HeadInputBuffer(SessionInputBuffer buffer, int maxLineBytes) {
        super(buffer, maxLineBytes);
    }

    @Override
    void check(CharArrayBuffer line, boolean hasCarriageReturn) throws IOException {
        if (!hasStatusLine) {
            hasStatusLine = true;
            if (!HttpSyntax.isStatusLine(line)) {
                throw new MalformedHeadException("the first line is no status line of HTTP/1.1");
            }
        } else if (!line.isEmpty() && !HttpSyntax.isFieldLine(line)) {
            throw new MalformedHeadException("a line of the head is no field");
        }
    }
}
