package io.sapphirestack.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Buffer that checks each line as it was received. The library would first remove its end, join it
 * to the line before it, and accept one that ends with the connection.
 */
abstract class CheckedLineBuffer extends FilterInputBuffer {

    private final int maxLineBytes;
    private boolean hasReadLine;

    /**
     * Creates a buffer.
     *
     * @param buffer buffer of the connection
     * @param maxLineBytes maximum size of a line in bytes; 0 or less for no limit
     */
    CheckedLineBuffer(SessionInputBuffer buffer, int maxLineBytes) {
        super(buffer);
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Checks a line.
     *
     * @param line line without its end
     * @param hasCarriageReturn whether it ended with CR LF and not with LF alone
     * @throws IOException if the line is not one that may follow here
     */
    abstract void check(CharArrayBuffer line, boolean hasCarriageReturn) throws IOException;

    /**
     * Reads and checks a line.
     *
     * @param line receives the line without its end; empty before
     * @param in input of the connection
     * @return size of the line in bytes, or -1 if the connection ended before the first line
     * @throws ConnectionClosedException if the connection ends within a line or after the first one
     * @throws MessageConstraintException if the line is too long
     */
    @Override
    public final int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        for (int octet = read(in); octet != '\n'; octet = read(in)) {
            if (octet < 0) {
                if (!hasReadLine && line.isEmpty()) {
                    return -1;
                }
                throw new ConnectionClosedException("the connection ended within the message");
            }
            if (maxLineBytes > 0 && line.length() >= maxLineBytes) {
                throw new MessageConstraintException("Maximum line length limit exceeded");
            }
            line.append((char) octet);
        }
        hasReadLine = true;
        boolean hasCarriageReturn = !line.isEmpty() && line.charAt(line.length() - 1) == '\r';
        if (hasCarriageReturn) {
            line.setLength(line.length() - 1);
        }
        check(line, hasCarriageReturn);
        return line.length();
    }
}
