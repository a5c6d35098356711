package io.sapphirestack.runtime.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Socket that tells how long its current write has lasted. Blocking writes have no timeout of their
 * own, so a caller that never reads would hold its thread for ever. Thread-safe as a socket is.
 */
public final class TrackedSocket extends Socket {

    private volatile long writeStartedNanos;
    private volatile boolean writing;

    /** Returns the time that the current write has lasted, in milliseconds; 0 if there is none. */
    public long writeDurationMs() {
        long startedNanos = writeStartedNanos;
        return writing ? (System.nanoTime() - startedNanos) / 1_000_000 : 0;
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new TrackedOutputStream(super.getOutputStream());
    }

    private final class TrackedOutputStream extends FilterOutputStream {

        TrackedOutputStream(OutputStream out) {
            super(out);
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            writeStartedNanos = System.nanoTime();
            writing = true;
            try {
                out.write(bytes, offset, length);
            } finally {
                writing = false;
            }
        }
    }
}
