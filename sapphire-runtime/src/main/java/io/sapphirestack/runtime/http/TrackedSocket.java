package io.sapphirestack.runtime.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Socket that measures the duration of its current write. Blocking writes have no timeout, so a
 * caller that never reads would block its thread forever; the duration lets another thread close
 * the socket. As thread-safe as {@link Socket}.
 */
public final class TrackedSocket extends Socket {

    private volatile long writeStartedNanos;
    private volatile boolean writeInProgress;

    /** Returns the duration of the current write in milliseconds; 0 if no write is in progress. */
    public long writeDurationMs() {
        long startedNanos = writeStartedNanos;
        return writeInProgress ? (System.nanoTime() - startedNanos) / 1_000_000 : 0;
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
            writeInProgress = true;
            try {
                out.write(bytes, offset, length);
            } finally {
                writeInProgress = false;
            }
        }
    }
}
