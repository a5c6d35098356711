package io.sapphirestack.runtime.connection;

import io.sapphirestack.core.relay.HeaderText;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.Charset;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CharsetEncoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;

/**
 * Charset in which heads of HTTP messages are written, with one octet for each character. The HTTP
 * library reads them so without a charset; without one, it writes a question mark for every octet
 * from 0x80 to 0x9F and every character beyond U+00FF, so that different values become the same.
 *
 * <p>A control character, except the tab, is written as a space: some receivers take it for the end
 * of the line (RFC 9110, section 5.5). A character beyond U+00FF cannot be written and fails the
 * message.
 */
public final class HeadCharset extends Charset {

    private static final HeadCharset INSTANCE = new HeadCharset();

    private HeadCharset() {
        super("X-Sapphire-Head", null);
    }

    /** Returns an encoder for the heads that one connection sends. */
    public static CharsetEncoder encoder() {
        return INSTANCE.newEncoder();
    }

    @Override
    public boolean contains(Charset charset) {
        return StandardCharsets.ISO_8859_1.contains(charset);
    }

    @Override
    public CharsetDecoder newDecoder() {
        return StandardCharsets.ISO_8859_1.newDecoder();
    }

    @Override
    public CharsetEncoder newEncoder() {
        return new OctetEncoder(this);
    }

    private static final class OctetEncoder extends CharsetEncoder {

        private static final int MAX_OCTET = 0xFF;

        OctetEncoder(Charset charset) {
            super(charset, 1, 1, new byte[] {' '});
        }

        @Override
        protected CoderResult encodeLoop(CharBuffer in, ByteBuffer out) {
            int end = in.position() + Math.min(in.remaining(), out.remaining());
            for (int position = in.position(); position < end; position++) {
                char character = in.get(position);
                if (character > MAX_OCTET) {
                    in.position(position);
                    return CoderResult.unmappableForLength(1);
                }
                boolean isReplaced = HeaderText.isControl(character) && character != '\t';
                out.put((byte) (isReplaced ? ' ' : character));
            }
            in.position(end);
            return in.hasRemaining() ? CoderResult.OVERFLOW : CoderResult.UNDERFLOW;
        }

        @Override
        public boolean isLegalReplacement(byte[] replacement) {
            return true;
        }
    }
}
